package gatelock.config;

import java.util.Set;

/**
 * The terms of WebSocket sessions on a route.
 *
 * @param messageBytes largest size of one message in bytes
 * @param idleUs time without a message in either direction after which a session is closed, in microseconds; 0: never
 * @param pingUs time between the pings that are sent to each side, in microseconds
 * @param framesPerS frames that a client may send in a second before it counts as flooding
 * @param subprotocols subprotocols that may be negotiated; empty: none
 */
public record SessionPolicy(int messageBytes, long idleUs, long pingUs, int framesPerS, Set<String> subprotocols) {}
