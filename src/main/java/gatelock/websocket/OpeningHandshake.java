package gatelock.websocket;

import gatelock.pipeline.UpgradeHandshake;
import gatelock.state.UpstreamResponse;
import io.undertow.connector.ByteBufferPool;
import io.undertow.websockets.client.WebSocketClientHandshake;
import io.undertow.websockets.client.WebSocketClientNegotiation;
import io.undertow.websockets.core.WebSocketChannel;
import io.undertow.websockets.core.WebSocketVersion;
import java.io.IOException;
import java.lang.System.Logger.Level;
import java.net.URI;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.StreamConnection;

/**
 * The relay's side of an opening handshake with an endpoint (RFC 6455, 4.1). The request line and the client's headers
 * are those of the request; only the headers of the handshake itself are the relay's own.
 */
final class OpeningHandshake implements UpgradeHandshake {
    private static final System.Logger LOG = System.getLogger("gatelock.websocket");
    /** Undertow needs a URI, but neither sends nor checks it. */
    private static final URI UNUSED_URI = URI.create("ws://endpoint/");

    private final ByteBufferPool buffers;
    private final BiConsumer<WebSocketChannel, String> onOpened;
    private final WebSocketClientNegotiation negotiation;
    private final WebSocketClientHandshake handshake;
    private final Map<String, String> headers;

    /**
     * Creates a handshake with a key of its own.
     *
     * @param buffers the buffers of the connection after the handshake
     * @param subprotocols the subprotocols that the endpoint is offered
     * @param onOpened receives the channel and the selected subprotocol, which is null if there is none
     */
    OpeningHandshake(ByteBufferPool buffers, List<String> subprotocols, BiConsumer<WebSocketChannel, String> onOpened) {
        this.buffers = buffers;
        this.onOpened = onOpened;
        this.negotiation = new WebSocketClientNegotiation(subprotocols, List.of());
        this.handshake = WebSocketClientHandshake.create(WebSocketVersion.V13, UNUSED_URI, negotiation, Set.of());
        this.headers = handshake.createHeaders();
    }

    @Override
    public String headers() {
        StringBuilder lines = new StringBuilder();
        headers.forEach(
                (name, value) -> lines.append(name).append(": ").append(value).append("\r\n"));
        return lines.toString();
    }

    @Override
    public boolean complete(UpstreamResponse response, StreamConnection connection) {
        try {
            Map<String, List<String>> sent = new HashMap<>();
            headers.forEach((name, value) -> sent.put(name, List.of(value)));
            handshake.handshakeChecker(UNUSED_URI, sent).checkHandshakeExtended(headersOf(response));
        } catch (IOException | RuntimeException e) {
            LOG.log(Level.DEBUG, () -> "opening handshake failed: " + e.getMessage());
            IoUtils.safeClose(connection);
            return false;
        }
        WebSocketChannel channel = handshake.createChannel(connection, UNUSED_URI.toString(), buffers, OptionMap.EMPTY);
        String selected = negotiation.getSelectedSubProtocol();
        onOpened.accept(channel, selected == null || selected.isEmpty() ? null : selected);
        return true;
    }

    /** Returns the headers of a response by their names in lower case, as Undertow expects them. */
    private static Map<String, List<String>> headersOf(UpstreamResponse response) {
        Map<String, List<String>> byName = new HashMap<>();
        for (int i = 0; i < response.headers().size(); i += 2) {
            String name = response.headers().get(i).toLowerCase(Locale.ROOT);
            byName.computeIfAbsent(name, n -> new ArrayList<>())
                    .add(response.headers().get(i + 1));
        }
        return byName;
    }
}
