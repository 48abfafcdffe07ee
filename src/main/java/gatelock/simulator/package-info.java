/**
 * The adapter for the simulator: parses its lines, calls the decision engine of each relay that it hosts, and writes
 * the actions that these ask for. It decides nothing.
 */
package gatelock.simulator;
