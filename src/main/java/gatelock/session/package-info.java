/**
 * Decisions on open WebSocket sessions: how each one ends, which side gets which close code, and which session must
 * leave its endpoint and when. There is no I/O and no clock here; times are whole microseconds passed in by the
 * caller. At which endpoint a session is opened, and whether a message may go there now, is decided by
 * {@link gatelock.api.DecisionEngine}.
 */
package gatelock.session;
