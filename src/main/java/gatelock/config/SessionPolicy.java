package gatelock.config;

import java.util.Set;

/**
 * The policy for WebSocket sessions on a route.
 *
 * @param maxMessageBytes maximum size of one message in bytes
 * @param idleTimeoutUs time in microseconds without a message in either direction after which a session is closed; 0
 *     disables the timeout
 * @param pingIntervalUs interval in microseconds between pings to each side
 * @param maxFramesPerSecond maximum number of frames that a client may send per second; more count as flooding
 * @param subprotocols subprotocols that may be negotiated; empty if none may
 */
public record SessionPolicy(
        int maxMessageBytes,
        long idleTimeoutUs,
        long pingIntervalUs,
        int maxFramesPerSecond,
        Set<String> subprotocols) {}
