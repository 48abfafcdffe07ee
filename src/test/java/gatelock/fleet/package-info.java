/**
 * A simulated fleet: the real decision modules of many relays on one virtual clock, with simulated endpoints, clients,
 * discovery and a release controller around them. Its rules are checked from the records of what these saw.
 */
package gatelock.fleet;
