package gatelock.websocket;

import io.undertow.websockets.core.WebSocketChannel;

/**
 * An endpoint with which an opening handshake succeeded.
 *
 * @param endpointName the endpoint's name
 * @param channel the open connection to the endpoint
 * @param subprotocol the subprotocol that the endpoint selected, or null if it selected none
 */
record OpenedEndpoint(String endpointName, WebSocketChannel channel, String subprotocol) {}
