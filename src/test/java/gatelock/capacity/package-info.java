/** What a relay costs: slopes of memory, processor time, bytes and start, measured on this machine. */
package gatelock.capacity;
