/**
 * The seam between the decisions and whatever carries requests: a protocol adapter calls
 * {@link gatelock.api.DecisionEngine} and {@link gatelock.api.RequestHandle}; the decisions call out on
 * {@link gatelock.api.DecisionActions}. Plain records and
 * enums pass between them, so a second protocol needs an adapter only. Times are whole microseconds.
 */
package gatelock.api;
