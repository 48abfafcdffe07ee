/**
 * Brings versions of the configuration to a relay and keeps them: the subscription to a control service, the last
 * good versions on disk, and the operator's HTTP listener. This package only does the input and output: what a
 * version means and which one is in force is decided in {@code gatelock.config}.
 */
package gatelock.control;
