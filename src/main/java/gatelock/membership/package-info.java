/**
 * Which endpoints of each service this relay uses, worked out from the list, the relay's own number and zone and
 * a bound. Decides and keeps state, without I/O and without a clock of its own: times come in as whole
 * microseconds. Off where no scope is configured: then the list goes to the decisions as it comes. The design
 * and the figures behind it: docs/design/membership.md, docs/measurements/membership.md.
 */
package gatelock.membership;
