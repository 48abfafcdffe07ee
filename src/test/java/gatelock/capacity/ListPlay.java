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
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/**
 * A relay's part that follows the list, in this process and on real sockets, with no bound on the list's size: its
 * own reader, addresses and decisions against a discovery of so many entries.
 */
final class ListPlay implements AutoCloseable {
    private static final int NO_BOUND = 256 << 20;
    private static final long WITHIN_MS = 60_000;
    private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();

    final LongListDiscovery list;
    private final int size;
    private final XnioWorker worker;
    private final EventLoop turn;
    private final ConnectionPool platform;
    private final ConnectionPool endpoints;
    private final DiscoveryClient discovery;
    private final DecisionEngine gate;
    private final EndpointAddresses addresses = new EndpointAddresses();
    private final double readUs;

    /** Follows the list; when this returns, all of it has been taken in. */
    ListPlay(int size, Admission admission) throws IOException, InterruptedException {
        this.size = size;
        list = new LongListDiscovery(size, i -> entry(i, 0));
        worker = Xnio.getInstance()
                .createWorker(OptionMap.builder()
                        .set(Options.WORKER_IO_THREADS, 1)
                        .set(Options.WORKER_TASK_CORE_THREADS, 1)
                        .set(Options.WORKER_TASK_MAX_THREADS, 1)
                        .getMap());
        turn = new EventLoop(worker.getIoThread());
        Counters counters = new Counters();
        platform = new ConnectionPool(turn, counters, 1_000_000, 4_000_000, 0, 8, NO_BOUND);
        endpoints = new ConnectionPool(turn, counters, 1_000_000, 4_000_000, 0, 8);
        String[] at = list.address("r").split(":");
        discovery = new DiscoveryClient(
                turn,
                counters,
                platform,
                new InetSocketAddress(at[0], Integer.parseInt(at[1])),
                addresses,
                endpoints,
                List.of("east", "west"),
                List.of("small"),
                false,
                new SplittableRandom(17),
                null);
        gate = ModulePlay.gate(new Quiet(), List.of());
        long fromNs = cpuNs();
        turn.soon(() -> {
            try {
                gate.start(turn.nowUs());
                discovery.start(
                        gate, admission, JsonObject.read("{\"endpoints\":[]}".getBytes(StandardCharsets.US_ASCII)));
                gate.news(
                        turn.nowUs(),
                        1,
                        0,
                        DecisionEngine.Phase.RELEASED,
                        1,
                        60_000_000,
                        DecisionEngine.VoteAnswer.NOT_ASKED);
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        });
        held(1);
        readUs = (cpuNs() - fromNs) / 1e3;
    }

    /** About 190 bytes, as the target names them. */
    static String entry(int number, int change) {
        return LongListDiscovery.entry(
                number,
                "10." + number / 65_536 + "." + number / 256 % 256 + "." + number % 256 + ":8443",
                number % 2 == 0 ? "east" : "west",
                "svc-" + number / ModulePlay.UNITS_OF_A_SERVICE,
                "in_service",
                1_764_000_000_000L + change,
                1);
    }

    private long cpuNs() {
        return THREADS.getThreadCpuTime(turn.thread().getId());
    }

    private void held(long index) throws InterruptedException {
        if (list.await(index, 1, WITHIN_MS).isEmpty()) {
            throw new IllegalStateException("a list of " + size + " entries is not held up to " + index + " after "
                    + WITHIN_MS + " ms; whole lists asked for: " + list.wholes());
        }
    }

    /** Processor time of the I/O thread to read the whole list and hand it on, in microseconds. */
    double readUs() {
        return readUs;
    }

    /** So many endpoints restart, one after the other; the I/O thread's processor time for one, the median. */
    double changeUs(int changes) throws InterruptedException {
        List<Long> ns = new ArrayList<>();
        for (int i = 1; i <= changes; i++) {
            int number = (int) ((long) i * 7_919 % size);
            long fromNs = cpuNs();
            held(list.change(number, entry(number, i)));
            ns.add(cpuNs() - fromNs);
        }
        return ns.stream().sorted().skip(changes / 2).findFirst().orElseThrow() / 1e3;
    }

    @Override
    public void close() throws InterruptedException {
        turn.soon(platform::stop);
        turn.soon(endpoints::stop);
        list.close();
        worker.shutdownNow();
        worker.awaitTermination(5, TimeUnit.SECONDS);
        turn.thread().join(5_000);
    }

    /** No request is taken, and no timer runs: what is measured is the list alone. */
    private static final class Quiet implements NoOpActions {
        @Override
        public void send(String id, String endpoint, long timeoutUs) {
            throw new IllegalStateException("no req was taken");
        }

        @Override
        public void shed(String id, long pauseUs) {
            throw new IllegalStateException("no req was taken");
        }

        @Override
        public void error(String id) {
            throw new IllegalStateException("no req was taken");
        }

        @Override
        public void cancel(String id, int attemptNo) {
            throw new IllegalStateException("no req was taken");
        }
    }
}
