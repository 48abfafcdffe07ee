/**
 * A discrete-event simulation of a fleet: the production decision engines of many relays on one virtual clock, with
 * simulated endpoints, clients, service discovery and a release controller. The fleet's rules are checked against the
 * recorded observations of these simulated parts.
 */
package gatelock.fleet;
