/**
 * WebSocket I/O on Undertow: upgrades, opening handshakes with endpoints, frames, pings. What happens to an open
 * session is decided in {@link gatelock.session}.
 */
package gatelock.websocket;
