/** WebSocket on the wire, on Undertow's own support: upgrades, frames, signs of life. Decides nothing. */
package gatelock.websocket;
