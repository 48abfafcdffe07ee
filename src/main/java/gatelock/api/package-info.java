/**
 * The interface between network code and decisions. A protocol adapter calls {@link gatelock.api.DecisionEngine} and
 * {@link gatelock.api.RequestHandle}; the decision engine orders actions through {@link gatelock.api.DecisionActions}.
 * Only plain records and enums are exchanged, so that another protocol needs only an adapter. Times are in whole
 * microseconds.
 */
package gatelock.api;
