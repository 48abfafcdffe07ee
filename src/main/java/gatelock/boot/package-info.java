/** Start and stop: the command line, the configuration, putting the parts together, readiness, SIGTERM. */
package gatelock.boot;
