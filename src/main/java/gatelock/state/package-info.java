/**
 * The state that a relay holds in memory: requests in flight, client connections, endpoint addresses, idle connections
 * and counters. These classes perform no I/O, and only the single I/O thread uses them.
 */
package gatelock.state;
