package gatelock.net;

import java.nio.ByteBuffer;

/**
 * One request on an outbound connection, and how its response is to be received.
 *
 * @param bytes the head and the body, as they are to be written
 * @param body receives the response's body as it arrives; null where it is buffered
 */
record OutboundRequest(
        ByteBuffer bytes, ResponseTimeouts timeouts, BodyConsumer body, OutboundConnection.ResponseHandler handler) {}
