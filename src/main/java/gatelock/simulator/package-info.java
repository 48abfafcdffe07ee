/**
 * The adapter for the bench: reads the simulator's lines, calls the decisions of each relay it hosts,
 * and writes what they ask for. It decides nothing.
 */
package gatelock.simulator;
