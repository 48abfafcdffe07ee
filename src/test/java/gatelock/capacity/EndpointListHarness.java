package gatelock.capacity;

import gatelock.api.DecisionEngine;
import gatelock.config.Admission;
import gatelock.discovery.DiscoveryClient;
import gatelock.net.ConnectionPool;
import gatelock.net.EventLoop;
import gatelock.net.JsonObject;
import gatelock.standin.LongListDiscovery;
import gatelock.standin.NoOpActions;
import gatelock.state.Counters;
import gatelock.state.EndpointAddresses;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/**
 * Runs the part of a relay that follows the endpoint list: discovery client, endpoint addresses and decision engine. It
 * runs in this process and connects to a discovery stand-in over real sockets. Unlike in a relay, the size of the list is
 * not bounded.
 */
final class EndpointListHarness implements AutoCloseable {
    private static final int MAX_RESPONSE_BYTES = 256 << 20;
    private static final long CONNECT_TIMEOUT_US = 1_000_000;
    private static final long RESPONSE_TIMEOUT_US = 4_000_000;
    private static final int MAX_CONNECTIONS = 8;
    private static final long INDEX_TIMEOUT_MS = 60_000;
    private static final long STOP_TIMEOUT_MS = 5_000;
    private static final long RELEASED_SINCE_US = 60_000_000;
    private static final long CHANGED_SINCE_MS = 1_764_000_000_000L;
    /** A prime stride, so that successive changes cover the whole list. */
    private static final long CHANGE_STRIDE = 7_919;

    private static final ThreadMXBean THREAD_MX_BEAN = ManagementFactory.getThreadMXBean();

    private final LongListDiscovery list;
    private final int size;
    private final XnioWorker worker;
    private final EventLoop eventLoop;
    private final ConnectionPool discoveryConnections;
    private final ConnectionPool endpointConnections;
    private final DiscoveryClient discovery;
    private final DecisionEngine engine;
    private final double fullReadUs;

    /** Starts to follow a list with the given number of entries and waits until the client has processed all of it. */
    EndpointListHarness(int size, Admission admission) throws IOException, InterruptedException {
        this.size = size;
        list = new LongListDiscovery(size, number -> entry(number, 0));
        worker = Xnio.getInstance()
                .createWorker(OptionMap.builder()
                        .set(Options.WORKER_IO_THREADS, 1)
                        .set(Options.WORKER_TASK_CORE_THREADS, 1)
                        .set(Options.WORKER_TASK_MAX_THREADS, 1)
                        .getMap());
        eventLoop = new EventLoop(worker.getIoThread());
        Counters counters = new Counters();
        discoveryConnections = new ConnectionPool(
                eventLoop, counters, CONNECT_TIMEOUT_US, RESPONSE_TIMEOUT_US, 0, MAX_CONNECTIONS, MAX_RESPONSE_BYTES);
        endpointConnections =
                new ConnectionPool(eventLoop, counters, CONNECT_TIMEOUT_US, RESPONSE_TIMEOUT_US, 0, MAX_CONNECTIONS);
        discovery = new DiscoveryClient(
                eventLoop,
                counters,
                discoveryConnections,
                RelayHarness.loopback(RelayHarness.port(list.address("r"))),
                new EndpointAddresses(),
                endpointConnections,
                List.of("east", "west"),
                List.of("small"),
                false,
                new SplittableRandom(17),
                null);
        engine = DecisionHarness.newEngine(new ListOnlyActions(), List.of());
        long startedNs = ioThreadCpuNs();
        eventLoop.execute(() -> start(admission));
        awaitIndex(1);
        fullReadUs = (ioThreadCpuNs() - startedNs) / 1e3;
    }

    private void start(Admission admission) {
        try {
            engine.start(eventLoop.nowUs());
            discovery.start(
                    engine, admission, JsonObject.parse("{\"endpoints\":[]}".getBytes(StandardCharsets.US_ASCII)));
            engine.releaseStateUpdated(
                    eventLoop.nowUs(),
                    1,
                    0,
                    DecisionEngine.ReleasePhase.RELEASED,
                    1,
                    RELEASED_SINCE_US,
                    DecisionEngine.VoteResponse.NOT_ASKED);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Returns an entry of about 190 bytes, the size in the capacity target; each change has a later start time. */
    static String entry(int number, int change) {
        return LongListDiscovery.entry(
                number,
                "10." + number / 65_536 + "." + number / 256 % 256 + "." + number % 256 + ":8443",
                number % 2 == 0 ? "east" : "west",
                "svc-" + number / DecisionHarness.ENDPOINTS_PER_SERVICE,
                "in_service",
                CHANGED_SINCE_MS + change,
                1);
    }

    private long ioThreadCpuNs() {
        return THREAD_MX_BEAN.getThreadCpuTime(eventLoop.ioThread().getId());
    }

    /** Waits until the client has received the list up to an index. */
    private void awaitIndex(long index) throws InterruptedException {
        if (list.awaitWatches(index, 1, INDEX_TIMEOUT_MS).isEmpty()) {
            throw new IllegalStateException("the client of a list of " + size + " entries did not reach index " + index
                    + " within " + INDEX_TIMEOUT_MS + " ms; full reads: " + list.snapshotCalls());
        }
    }

    /** Returns the processor time of the I/O thread to read and process the whole list, in microseconds. */
    double fullReadUs() {
        return fullReadUs;
    }

    /** Returns how often the client has read the whole list. */
    long fullReads() {
        return list.snapshotCalls();
    }

    /** Restarts a number of endpoints one by one; returns the median processor time of the I/O thread for one, in us. */
    double medianChangeUs(int changes) throws InterruptedException {
        List<Long> changeNs = new ArrayList<>();
        for (int i = 1; i <= changes; i++) {
            int number = (int) (i * CHANGE_STRIDE % size);
            long startedNs = ioThreadCpuNs();
            awaitIndex(list.replace(number, entry(number, i)));
            changeNs.add(ioThreadCpuNs() - startedNs);
        }
        Collections.sort(changeNs);
        return changeNs.get(changes / 2) / 1e3;
    }

    @Override
    public void close() {
        eventLoop.execute(discoveryConnections::shutdown);
        eventLoop.execute(endpointConnections::shutdown);
        list.close();
        worker.shutdownNow();
        try {
            worker.awaitTermination(STOP_TIMEOUT_MS, TimeUnit.MILLISECONDS);
            eventLoop.ioThread().join(STOP_TIMEOUT_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Actions of an engine that only receives the list: it accepts no requests, and its timers do not run. */
    private static final class ListOnlyActions implements NoOpActions {
        private static IllegalStateException unexpected() {
            return new IllegalStateException("unexpected action: the harness accepts no requests");
        }

        @Override
        public void sendAttempt(String id, String endpoint, long timeoutUs) {
            throw unexpected();
        }

        @Override
        public void shedRequest(String id, long pauseUs) {
            throw unexpected();
        }

        @Override
        public void failRequest(String id) {
            throw unexpected();
        }

        @Override
        public void cancelAttempt(String id, int attemptNo) {
            throw unexpected();
        }
    }
}
