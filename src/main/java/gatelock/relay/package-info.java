/**
 * The seam between the decisions and whatever carries reqs: a protocol adapter calls
 * {@link gatelock.relay.DecisionEngine} and {@link gatelock.relay.RequestHandle}; the decisions call out on
 * {@link gatelock.relay.DecisionActions}. Plain records and
 * enums pass between them, so a second protocol needs an adapter only. Times are whole microseconds.
 */
package gatelock.relay;
