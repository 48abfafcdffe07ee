/**
 * Stand-ins for the peers of a relay: endpoints, discovery, release controller, control service and clients. They are
 * written from public specifications or from the project's own, and listen on loopback only.
 */
package gatelock.standin;
