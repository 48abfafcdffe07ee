/** Starts and stops the program: the command line, the configuration, assembly of the parts, warm-up and shutdown. */
package gatelock.boot;
