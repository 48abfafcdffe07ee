/**
 * Deterministic subsetting: which endpoints of each service this relay uses, worked out from the list of endpoints, the
 * relay's own number and zone and a bound. The package decides and keeps state, without I/O and without a clock of its
 * own: times are passed in as whole microseconds. Without a {@code membership} section in the operator's file it is not
 * used, and the decisions receive the list as it comes.
 *
 * <p>{@link gatelock.membership.EndpointSubset} is the entry point. The design and its figures are in
 * docs/design/membership.md and docs/measurements/membership.md.
 */
package gatelock.membership;
