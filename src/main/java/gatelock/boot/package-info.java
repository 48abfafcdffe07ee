/** Starts and stops the process: command line, configuration, assembly of the parts, warm-up and shutdown. */
package gatelock.boot;
