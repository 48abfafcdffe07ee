/**
 * WebSocket I/O on Undertow: upgrades, opening handshakes with endpoints, frames and pings. Decisions about open
 * sessions are made in {@link gatelock.session}.
 */
package gatelock.websocket;
