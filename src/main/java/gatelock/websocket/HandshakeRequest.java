package gatelock.websocket;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderValues;
import io.undertow.util.HttpString;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.URISyntaxException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The parts of a client's opening handshake that are forwarded in the opening handshake with an endpoint.
 *
 * @param target path and query
 * @param subprotocols the subprotocols that the client offers and the route permits, in the client's order
 * @param headers the values of the forwarded headers, by header name
 */
record HandshakeRequest(String target, List<String> subprotocols, Map<String, List<String>> headers) {
    private static final HttpString SUBPROTOCOL = new HttpString("Sec-WebSocket-Protocol");
    private static final List<String> FORWARDED_HEADERS =
            List.of("X-Trace-Id", "X-Customer", "Cookie", "X-Size-Hint", "Origin");

    /** Creates the forwarded handshake from a client's request. */
    static HandshakeRequest of(HttpServerExchange exchange, Set<String> permittedSubprotocols) {
        String query = exchange.getQueryString();
        String target = exchange.getRequestURI() + (query.isEmpty() ? "" : "?" + query);
        Map<String, List<String>> headers = new LinkedHashMap<>();
        for (String name : FORWARDED_HEADERS) {
            String value = exchange.getRequestHeaders().getFirst(name);
            if (value != null) {
                headers.put(name, List.of(value));
            }
        }
        return new HandshakeRequest(target, subprotocols(exchange, permittedSubprotocols), headers);
    }

    private static List<String> subprotocols(HttpServerExchange exchange, Set<String> permitted) {
        List<String> offered = new ArrayList<>();
        HeaderValues values = exchange.getRequestHeaders().get(SUBPROTOCOL);
        if (values == null) {
            return offered;
        }
        for (String value : values) {
            for (String name : value.split(",", -1)) {
                if (permitted.contains(name.trim())) {
                    offered.add(name.trim());
                }
            }
        }
        return offered;
    }

    /** Returns the WebSocket URI for an endpoint with this address. */
    URI uri(InetSocketAddress address) throws URISyntaxException {
        return new URI("ws://" + address.getAddress().getHostAddress() + ":" + address.getPort() + target);
    }
}
