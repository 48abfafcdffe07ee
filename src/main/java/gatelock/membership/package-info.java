/**
 * Deterministic subsetting: computes which endpoints of each service this relay uses from the endpoint list, the
 * relay's number and zone, and an upper bound on the subset size. The package makes decisions and keeps state but does
 * no I/O and reads no clock: callers pass times in as whole microseconds. If the operator's file has no
 * {@code membership} section, the package is not used and the decision engine receives the full endpoint list.
 *
 * <p>{@link gatelock.membership.EndpointSubset} is the entry point. The design and the measurements behind it
 * are in docs/design/membership.md and docs/measurements/membership.md.
 */
package gatelock.membership;
