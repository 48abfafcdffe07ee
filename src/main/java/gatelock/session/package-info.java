/**
 * Sessions, all that is decided about them once they are open: how each ends, to whom that is said and with
 * which code,
 * which must leave an endpoint and when. No I/O and no clock; times are whole microseconds that the caller brings.
 * Which endpoint
 * one is opened at, and whether a message may go there now, is the decision module's.
 */
package gatelock.session;
