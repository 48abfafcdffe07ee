/**
 * What a relay holds in memory: open requests, endpoint addresses, idle connections, counters. Nothing here speaks
 * or decides.
 */
package gatelock.state;
