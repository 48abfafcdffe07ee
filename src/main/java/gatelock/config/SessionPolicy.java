package gatelock.config;

import java.util.Set;

/**
 * The terms of WebSocket sessions on a route.
 *
 * @param maxMessageBytes largest size of one message in bytes
 * @param idleTimeoutUs time without a message in either direction after which a session is closed, in microseconds; 0: never
 * @param pingIntervalUs time between the pings that are sent to each side, in microseconds
 * @param maxFramesPerSecond frames that a client may send in a second before it counts as flooding
 * @param subprotocols subprotocols that may be negotiated; empty: none
 */
public record SessionPolicy(
        int maxMessageBytes,
        long idleTimeoutUs,
        long pingIntervalUs,
        int maxFramesPerSecond,
        Set<String> subprotocols) {}
