package gatelock.pipeline;

import static org.assertj.core.api.Assertions.assertThat;

import gatelock.api.Endpoint;
import gatelock.api.RoutePolicy;
import gatelock.http.ClientListener;
import gatelock.http.RequestReader;
import gatelock.net.ConnectionPool;
import gatelock.net.EventLoop;
import gatelock.standin.FakeServer;
import gatelock.standin.RawHttp;
import gatelock.state.Counters;
import gatelock.state.EndpointAddresses;
import gatelock.state.InFlightRequest;
import gatelock.state.InFlightRequests;
import gatelock.state.ResponseSink;
import gatelock.state.UpstreamResponse;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/**
 * Guards against requests that are never answered, and connections that are never freed, because a stage or the
 * decision engine throws between the last byte of a request and its response.
 */
final class RequestFailureTest {
    private static final long REQUEST_TIMEOUT_US = 1_000_000;
    /** The deadline, and the half second after which a response counts as lost. */
    private static final int RESPONSE_TIMEOUT_MS = 1_500;

    private final XnioWorker worker;
    private final EventLoop eventLoop;
    private final Counters counters = new Counters();
    private final InFlightRequests inFlight = new InFlightRequests(counters);
    private final EndpointAddresses addresses = new EndpointAddresses();
    private FakeServer endpoint;
    private ClientListener listener;
    private InetSocketAddress address;
    private AttemptSender attemptSender;
    private FaultyEngine engine;

    RequestFailureTest() throws Exception {
        worker = Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1));
        eventLoop = new EventLoop(worker.getIoThread());
    }

    @BeforeEach
    void startPipeline() throws Exception {
        endpoint = new FakeServer();
        addresses.put(
                endpoint.socketAddress(), new Endpoint(FaultyEngine.ENDPOINT, 1, 0, 0, 0, Endpoint.Health.READY, 0));
        listener = new ClientListener(eventLoop, counters, 200, 300);
        address = listener.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        listener.setRequestHandler(assemble(), true);
    }

    private RequestReader assemble() {
        ConnectionPool pool = new ConnectionPool(eventLoop, counters, 250_000, 2_000_000, 0, 100);
        ResponseWriter responseWriter = new ResponseWriter(eventLoop, inFlight, counters);
        OutcomeRecorder outcomes = new OutcomeRecorder(eventLoop, inFlight, counters, responseWriter);
        RequestFailureHandler failures = new RequestFailureHandler(eventLoop, inFlight, counters, responseWriter);
        new DeadlineMonitor(eventLoop, inFlight, failures).start();
        attemptSender = new AttemptSender(eventLoop, pool, outcomes, failures);
        ActionExecutor actions = new ActionExecutor(eventLoop, inFlight, failures);
        engine = new FaultyEngine(actions);
        actions.bind(engine, new EndpointResolver(addresses, attemptSender), responseWriter, outcomes);
        RequestAdmitter admitter =
                new RequestAdmitter(eventLoop, inFlight, counters, outcomes, responseWriter, failures, engine, null, 0);
        admitter.releaseQueued();
        RequestReader.RequestNames names = new RequestReader.RequestNames(
                Map.of("claim", 0),
                new HashMap<>(),
                List.of(new RoutePolicy(
                        RoutePolicy.RetrySafety.NON_RETRIABLE, RoutePolicy.DedupScope.ALL, 0, 100_000, 1)),
                List.of(REQUEST_TIMEOUT_US));
        return new RequestReader(counters, names, eventLoop, admitter, listener, failures, null);
    }

    @AfterEach
    void stop() throws Exception {
        endpoint.close();
        worker.shutdownNow();
    }

    private Socket connect() throws Exception {
        Socket client = new Socket(address.getAddress(), address.getPort());
        client.setSoTimeout(RESPONSE_TIMEOUT_MS);
        return client;
    }

    /** Sends a request, with its body in a second segment or together with the head. */
    private static void send(Socket client, String id, boolean bodyLater) throws Exception {
        String head = "POST /claim HTTP/1.1\r\nHost: x\r\nX-Trace-Id: " + id + "\r\nContent-Length: 4\r\n\r\n";
        if (bodyLater) {
            RawHttp.write(client, head);
            Thread.sleep(50);
            RawHttp.write(client, "body");
        } else {
            RawHttp.write(client, head + "body");
        }
    }

    /** Waits until no request is in flight and no client connection is open; fails after 3 s. */
    private void awaitNothingLeft() throws Exception {
        for (int i = 0; i < 300 && (inFlight.size() > 0 || listener.size() > 0); i++) {
            Thread.sleep(10);
        }
        assertThat(inFlight.size()).as("requests in flight").isZero();
        assertThat(listener.size()).as("client connections").isZero();
    }

    @ParameterizedTest
    @EnumSource
    void answersOnceAndFreesConnectionWhateverTheEngineThrows(FaultyEngine.Fault fault) throws Exception {
        engine.setFault(fault);
        for (boolean bodyLater : new boolean[] {false, true}) {
            try (Socket client = connect()) {
                send(client, "r-" + bodyLater, bodyLater);
                if (fault == FaultyEngine.Fault.ATTEMPT_ENDED) {
                    endpoint.awaitCall().respond("500 Internal Server Error", "", "");
                }
                assertThat(RawHttp.readMessage(client).head()).startsWith("HTTP/1.1 50");
                if (fault == FaultyEngine.Fault.LEAVING) {
                    endpoint.awaitCall();
                }
                // The connection serves the next request, so the error was the only response.
                engine.setFault(null);
                send(client, "next-" + bodyLater, bodyLater);
                // The engine is asked whether an attempt may start only on a new connection to the endpoint.
                endpoint.awaitCall().respond("200 OK", "Connection: close\r\n", "fine");
                assertThat(RawHttp.readMessage(client).body()).isEqualTo("fine");
                engine.setFault(fault);
            }
        }
        awaitNothingLeft();
    }

    @Test
    void answersRequestIfReportingAnAttemptThrows() throws Exception {
        attemptSender.setAttemptListener((name, result) -> {
            throw new IllegalStateException("injected fault");
        });
        try (Socket client = connect()) {
            send(client, "r", true);
            endpoint.awaitCall().respond("200 OK", "", "fine");
            assertThat(RawHttp.readMessage(client).head()).startsWith("HTTP/1.1 502");
        }
        awaitNothingLeft();
    }

    @Test
    void freesConnectionOfClientThatLeavesIfTheEngineThrows() throws Exception {
        engine.setFault(FaultyEngine.Fault.LEAVING);
        try (Socket client = connect()) {
            send(client, "r", true);
            endpoint.awaitCall();
        }
        awaitNothingLeft();
    }

    @Test
    void answersRequestIfItsCompletionActionThrows() {
        List<String> responses = new ArrayList<>();
        InFlightRequest request = new InFlightRequest("r", new byte[0], new byte[0], 0, new ResponseSink() {
            @Override
            public void forward(UpstreamResponse response) {
                responses.add("forwarded");
            }

            @Override
            public void reject(long retryAfterUs) {
                responses.add("rejected");
            }

            @Override
            public void fail(boolean timedOut) {
                responses.add("failed");
            }
        });
        request.onCompleted(() -> {
            throw new IllegalStateException("injected fault");
        });
        ResponseWriter responseWriter = new ResponseWriter(eventLoop, inFlight, counters);
        RequestFailureHandler failures = new RequestFailureHandler(eventLoop, inFlight, counters, responseWriter);
        failures.run(request, () -> responseWriter.reject(request, 0));
        assertThat(responses).containsExactly("rejected");
    }
}
