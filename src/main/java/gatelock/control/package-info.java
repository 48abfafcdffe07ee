/**
 * What brings versions to a relay and keeps them: the stream from a control service, the last good ones on
 * disk, and
 * the operator's listener. It carries out; what a version means and which one holds is gatelock.config's.
 */
package gatelock.control;
