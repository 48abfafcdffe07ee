/**
 * What a relay holds in memory: requests in flight, client connections, endpoint addresses, idle connections, counters.
 * Nothing here does I/O, and all of it is used by the one I/O thread only.
 */
package gatelock.state;
