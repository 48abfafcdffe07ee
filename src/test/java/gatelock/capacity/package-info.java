/**
 * Generates the capacity page: measures the resources that a relay uses, evaluates the capacity model with the results,
 * and writes the tables and the chart of docs/CAPACITY.md.
 */
package gatelock.capacity;
