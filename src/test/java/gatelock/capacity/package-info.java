/**
 * The capacity page: measures what a relay costs, evaluates the capacity model on the results, and writes the tables and
 * the chart of docs/CAPACITY.md.
 */
package gatelock.capacity;
