/**
 * Decisions about open WebSocket sessions: how a session ends, which close code each side receives, and which sessions
 * are drained from their endpoint and when. The package does no I/O and reads no clock; callers pass times in as whole
 * microseconds. {@link gatelock.api.DecisionEngine} decides at which endpoint a session is opened and whether a message
 * may be forwarded.
 */
package gatelock.session;
