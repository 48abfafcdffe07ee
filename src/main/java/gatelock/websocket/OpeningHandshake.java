package gatelock.websocket;

import gatelock.api.AttemptResult;
import gatelock.net.EventLoop;
import gatelock.state.InFlightRequest;
import gatelock.state.UpstreamResponse;
import io.undertow.websockets.client.WebSocketClient;
import io.undertow.websockets.client.WebSocketClientNegotiation;
import io.undertow.websockets.core.WebSocketChannel;
import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.URISyntaxException;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.xnio.IoFuture;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.XnioExecutor;

/** One attempt to open a session: an opening handshake with an endpoint, for which exactly one result is recorded. */
final class OpeningHandshake {
    private static final int SWITCHING_PROTOCOLS = 101;

    private final SessionContext context;
    private final EventLoop loop;
    private final InFlightRequest request;
    private final String endpointName;
    private final Consumer<OpenedEndpoint> onOpened;
    private final int attemptNo;
    private final long startUs;
    private IoFuture<WebSocketChannel> connection;
    private XnioExecutor.Key timeout;
    private boolean ended;

    /**
     * Registers the attempt with its request.
     *
     * @param onOpened called after a successful handshake, before the result is recorded
     */
    OpeningHandshake(
            SessionContext context, InFlightRequest request, String endpointName, Consumer<OpenedEndpoint> onOpened) {
        this.context = context;
        this.loop = context.loop();
        this.request = request;
        this.endpointName = endpointName;
        this.onOpened = onOpened;
        this.startUs = loop.nowUs();
        this.attemptNo = request.addAttempt(() -> end(AttemptResult.CANCELLED));
    }

    /**
     * Begins the handshake.
     *
     * @param address the endpoint's address, or null if no connection to the endpoint can be made
     * @param timeoutUs timeout of the attempt, which never exceeds the request's remaining time; 0 for that time
     */
    void start(HandshakeRequest handshakeRequest, InetSocketAddress address, long timeoutUs) {
        long remainingUs = request.deadlineUs() - startUs;
        if (request.isCompleted() || remainingUs <= 0) {
            end(AttemptResult.NOT_SENT);
            return;
        }
        if (address == null) {
            end(AttemptResult.NOT_CONNECTED);
            return;
        }
        URI uri;
        try {
            uri = handshakeRequest.uri(address);
        } catch (URISyntaxException e) {
            end(AttemptResult.NOT_SENT);
            return;
        }
        long attemptTimeoutUs = timeoutUs > 0 ? Math.min(timeoutUs, remainingUs) : remainingUs;
        timeout = loop.schedule(
                attemptTimeoutUs, () -> context.failures().run(request, () -> end(AttemptResult.TIMED_OUT)));
        connect(handshakeRequest, uri);
    }

    private void connect(HandshakeRequest handshakeRequest, URI uri) {
        WebSocketClientNegotiation negotiation =
                new WebSocketClientNegotiation(handshakeRequest.subprotocols(), List.of()) {
                    @Override
                    public void beforeRequest(Map<String, List<String>> headers) {
                        headers.putAll(handshakeRequest.headers());
                    }
                };
        connection = WebSocketClient.connectionBuilder(loop.ioThread().getWorker(), context.buffers(), uri)
                .setOptionMap(OptionMap.create(Options.TCP_NODELAY, true))
                .setClientNegotiation(negotiation)
                .connect();
        connection.addNotifier(
                new IoFuture.HandlingNotifier<WebSocketChannel, Void>() {
                    @Override
                    public void handleDone(WebSocketChannel channel, Void attachment) {
                        execute(() -> connected(channel, negotiation.getSelectedSubProtocol()));
                    }

                    @Override
                    public void handleFailed(IOException failure, Void attachment) {
                        boolean refused = failure instanceof ConnectException;
                        execute(() -> end(refused ? AttemptResult.NOT_CONNECTED : AttemptResult.ERRORED));
                    }
                },
                null);
    }

    private void execute(Runnable step) {
        loop.execute(() -> context.failures().run(request, step));
    }

    private void connected(WebSocketChannel channel, String selectedSubprotocol) {
        if (ended || request.isCompleted()) {
            IoUtils.safeClose(channel);
            end(AttemptResult.CANCELLED);
            return;
        }
        boolean noneSelected = selectedSubprotocol == null || selectedSubprotocol.isEmpty();
        onOpened.accept(new OpenedEndpoint(endpointName, channel, noneSelected ? null : selectedSubprotocol));
        end(AttemptResult.COMPLETED);
    }

    /** Records the result of the attempt. Later calls have no effect. */
    private void end(AttemptResult result) {
        if (ended) {
            return;
        }
        ended = true;
        if (timeout != null) {
            timeout.remove();
        }
        boolean completed = result == AttemptResult.COMPLETED;
        if (connection != null && !completed) {
            connection.cancel();
        }
        UpstreamResponse response =
                completed ? new UpstreamResponse(SWITCHING_PROTOCOLS, List.of(), new byte[0]) : null;
        context.recorder().attemptEnded(request, attemptNo, result, loop.nowUs() - startUs, response);
    }
}
