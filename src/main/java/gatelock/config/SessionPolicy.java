package gatelock.config;

import java.util.Set;

/**
 * What is agreed for WebSocket sessions of a route.
 *
 * @param messageBytes that one message may have
 * @param idleUs without a message either way, after which a session ends; 0: never
 * @param pingUs between signs of life asked of each side
 * @param framesPerS that a client may send before it counts as a flood
 * @param subprotocols that may be agreed on; empty: none is
 */
public record SessionPolicy(int messageBytes, long idleUs, long pingUs, int framesPerS, Set<String> subprotocols) {}
