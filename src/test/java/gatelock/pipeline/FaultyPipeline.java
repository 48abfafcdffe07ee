package gatelock.pipeline;

import static org.assertj.core.api.Assertions.assertThat;

import gatelock.api.Endpoint;
import gatelock.api.RoutePolicy;
import gatelock.config.Admission;
import gatelock.http.ClientListener;
import gatelock.http.RequestReader;
import gatelock.net.ConnectionPool;
import gatelock.net.EventLoop;
import gatelock.standin.FakeServer;
import gatelock.state.Counters;
import gatelock.state.DescriptorBudget;
import gatelock.state.EndpointAddresses;
import gatelock.state.InFlightRequests;
import gatelock.state.MemoryBudget;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/** All stages of the request pipeline around a {@link FaultyEngine}, with a listener for clients and one endpoint. */
final class FaultyPipeline implements AutoCloseable {
    static final long REQUEST_TIMEOUT_US = 1_000_000;
    /** The deadline, and the half second after which a response counts as lost. */
    static final int RESPONSE_TIMEOUT_MS = 1_500;

    private static final int MAX_DESCRIPTORS = 800;
    private static final int MAX_REQUEST_BYTES = 1 << 24;
    private static final long CONNECT_TIMEOUT_US = 250_000;
    private static final long IDLE_TIMEOUT_US = 2_000_000;
    private static final long LATENCY_OBJECTIVE_US = 100_000;
    private static final int MAX_CONNECTIONS = 100;

    private final XnioWorker worker;
    private final EventLoop eventLoop;
    private final Counters counters = new Counters();
    private final InFlightRequests inFlight = new InFlightRequests(counters);
    private final FakeServer endpoint = new FakeServer();
    private final ClientListener listener;
    private final InetSocketAddress address;
    private AttemptSender attemptSender;
    private FaultyEngine engine;

    /** Starts a pipeline with these admission rules, or null for none. */
    FaultyPipeline(Admission admission) throws Exception {
        worker = Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1));
        eventLoop = new EventLoop(worker.getIoThread());
        listener = new ClientListener(
                eventLoop,
                counters,
                new DescriptorBudget(MAX_DESCRIPTORS),
                new MemoryBudget(counters, MAX_REQUEST_BYTES));
        address = listener.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        listener.setRequestHandler(assemble(admission), true);
    }

    private RequestReader assemble(Admission admission) {
        EndpointAddresses addresses = new EndpointAddresses();
        addresses.put(
                endpoint.socketAddress(), new Endpoint(FaultyEngine.ENDPOINT, 1, 0, 0, 0, Endpoint.Health.READY, 0));
        ConnectionPool pool =
                new ConnectionPool(eventLoop, counters, CONNECT_TIMEOUT_US, IDLE_TIMEOUT_US, 0, MAX_CONNECTIONS);
        ResponseWriter responseWriter = new ResponseWriter(eventLoop, inFlight, counters);
        OutcomeRecorder outcomes = new OutcomeRecorder(eventLoop, inFlight, counters, responseWriter);
        RequestFailureHandler failures = new RequestFailureHandler(eventLoop, inFlight, counters, responseWriter);
        new DeadlineMonitor(eventLoop, inFlight, failures).start();
        attemptSender = new AttemptSender(eventLoop, pool, outcomes, failures);
        ActionExecutor actions = new ActionExecutor(eventLoop, inFlight, failures);
        engine = new FaultyEngine(actions);
        actions.bind(engine, new EndpointResolver(addresses, attemptSender), responseWriter, outcomes);
        RequestAdmitter admitter = new RequestAdmitter(
                eventLoop, inFlight, counters, outcomes, responseWriter, failures, engine, admission, 0);
        admitter.releaseQueued();
        RoutePolicy policy = new RoutePolicy(
                RoutePolicy.RetrySafety.NON_RETRIABLE, RoutePolicy.DedupScope.ALL, 0, LATENCY_OBJECTIVE_US, 1);
        // The class index of "claim" is that of the sample configurations.
        RequestReader.RequestNames names = new RequestReader.RequestNames(
                Map.of("claim", 2),
                new HashMap<>(),
                List.of(policy, policy, policy),
                List.of(REQUEST_TIMEOUT_US, REQUEST_TIMEOUT_US, REQUEST_TIMEOUT_US));
        return new RequestReader(counters, names, eventLoop, admitter, listener, failures, admission);
    }

    EventLoop eventLoop() {
        return eventLoop;
    }

    FaultyEngine engine() {
        return engine;
    }

    FakeServer endpoint() {
        return endpoint;
    }

    AttemptSender attemptSender() {
        return attemptSender;
    }

    /** Connects as a client that waits for a response until it counts as lost. */
    Socket connect() throws Exception {
        Socket client = new Socket(address.getAddress(), address.getPort());
        client.setSoTimeout(RESPONSE_TIMEOUT_MS);
        return client;
    }

    /** Waits until no request is in flight and no client connection is open; fails after 3 s. */
    void awaitNothingLeft() throws InterruptedException {
        for (int i = 0; i < 300 && (inFlight.size() > 0 || listener.size() > 0); i++) {
            Thread.sleep(10);
        }
        assertThat(inFlight.size()).as("requests in flight").isZero();
        assertThat(listener.size()).as("client connections").isZero();
    }

    @Override
    public void close() throws IOException {
        endpoint.close();
        worker.shutdownNow();
    }
}
