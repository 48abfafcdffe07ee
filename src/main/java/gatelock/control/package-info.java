/**
 * Delivers configuration versions to a relay: the subscription to a control service, the last known good versions on
 * disk, and the operator's HTTP listener. This package only does input and output; {@code gatelock.config} determines
 * what a version means and which one is active.
 */
package gatelock.control;
