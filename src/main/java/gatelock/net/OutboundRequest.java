package gatelock.net;

import java.nio.ByteBuffer;

/**
 * One request on an outbound connection, and how its response is received.
 *
 * @param bytes the head and the body to write
 * @param timeouts how long the response may take
 * @param body receives the body of the response as it arrives, or null to buffer it
 * @param acceptsUpgrade whether the response may be a switch to another protocol
 * @param handler receives the outcome
 */
record OutboundRequest(
        ByteBuffer bytes,
        ResponseTimeouts timeouts,
        BodyConsumer body,
        boolean acceptsUpgrade,
        OutboundConnection.ResponseHandler handler) {}
