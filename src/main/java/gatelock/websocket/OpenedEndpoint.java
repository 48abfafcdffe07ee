package gatelock.websocket;

import io.undertow.websockets.core.WebSocketChannel;

/**
 * An endpoint with which an opening handshake succeeded.
 *
 * @param subprotocol what the endpoint selected, or null
 */
record OpenedEndpoint(String endpointName, WebSocketChannel channel, String subprotocol) {}
