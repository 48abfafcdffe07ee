/**
 * What a relay holds in memory: open reqs, unit addresses, idle connections, counters. Nothing here speaks
 * or decides.
 */
package gatelock.state;
