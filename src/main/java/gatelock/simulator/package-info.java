/**
 * The adapter for the simulator: parses its lines, calls the decision engine of each hosted relay, and writes the
 * actions that the engines request. It makes no decisions itself.
 */
package gatelock.simulator;
