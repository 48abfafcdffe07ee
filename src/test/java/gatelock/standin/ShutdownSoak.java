package gatelock.standin;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Seeded shutdowns of a relay process: signals come in series, clients use their open connections until SIGKILL, which
 * comes at the earliest time that the platform allows, and in every second run a crowd of clients is connected.
 */
public final class ShutdownSoak {
    private static final int READY_MS = 30_000;
    private static final int ENDPOINTS = 4;
    private static final int CLIENTS = 16;
    private static final int CROWD = 200;
    /** The longest deadline of the example's routes and what the platform adds to it. */
    private static final int TERM_TO_KILL_MS = 3_700;

    private static final int MAX_SIGNALS = 3;
    private static final int MAX_SIGNAL_INTERVAL_MS = 400;
    /** The platform sends no SIGHUP in the first second. */
    private static final int QUIET_MS = 1_000;

    private static final int DEADLINE_MS = 900;
    private static final int MAX_WORK_MS = 600;
    private static final int MAX_PAUSE_MS = 40;
    private static final int CLIENT_TIMEOUT_MS = 3_000;

    /**
     * What was seen in one run.
     *
     * @param asked the requests that were sent
     * @param answered those with a final response
     * @param lost those that an endpoint executed but that have no final response
     * @param endedEarly whether the process ended before SIGTERM
     */
    public record Outcome(int asked, int answered, List<String> lost, boolean endedEarly) {}

    private final SplittableRandom random;
    private final long seed;
    private final Set<String> answeredIds = ConcurrentHashMap.newKeySet();
    private final AtomicInteger asked = new AtomicInteger();
    private volatile boolean stopped;

    /** Creates the run of a seed; odd seeds have a crowd. */
    public ShutdownSoak(long seed) {
        this.seed = seed;
        this.random = new SplittableRandom(seed);
    }

    /** Runs the seeds from the first to the last argument and prints what was seen. */
    public static void main(String[] args) throws Exception {
        for (long seed = Long.parseLong(args[0]); seed <= Long.parseLong(args[1]); seed++) {
            Outcome outcome = new ShutdownSoak(seed).run(Files.createTempDirectory("soak"));
            System.out.printf("seed %d %s%n", seed, outcome);
        }
        System.exit(0);
    }

    /** Starts a relay, serves, shuts it down and kills it. */
    public Outcome run(Path directory) throws Exception {
        try (FakeDeployment deployment = new FakeDeployment(ENDPOINTS, 1)) {
            int port = RelayProcess.freePort();
            String configuration =
                    deployment.configuration(Files.readString(Path.of("examples/relay.json")), "127.0.0.1:" + port);
            try (RelayProcess relay = RelayProcess.startFromClasses(directory, port, configuration)) {
                if (relay.awaitReadyMs(READY_MS) < 0) {
                    throw new IOException("relay not ready: " + relay.log());
                }
                int clients = CLIENTS + (seed % 2 == 0 ? 0 : CROWD);
                for (int i = 0; i < clients; i++) {
                    SplittableRandom own = random.split();
                    int number = i;
                    BackgroundTask.start(() -> askRepeatedly(port, number, own));
                }
                TimeUnit.MILLISECONDS.sleep(QUIET_MS);
                sendInSeries(relay, "HUP", random.nextInt(MAX_SIGNALS + 1));
                boolean endedEarly = !relay.isAlive();
                long termNs = System.nanoTime();
                relay.signal("TERM");
                sendInSeries(relay, random.nextBoolean() ? "TERM" : "HUP", random.nextInt(MAX_SIGNALS));
                long sinceTermMs = (System.nanoTime() - termNs) / 1_000_000;
                TimeUnit.MILLISECONDS.sleep(Math.max(0, TERM_TO_KILL_MS - sinceTermMs));
                relay.kill();
                stopped = true;
                TimeUnit.MILLISECONDS.sleep(MAX_PAUSE_MS + MAX_WORK_MS);
                return outcome(deployment, endedEarly);
            }
        }
    }

    private void sendInSeries(RelayProcess relay, String signal, int count) throws Exception {
        for (int i = 0; i < count && relay.isAlive(); i++) {
            TimeUnit.MILLISECONDS.sleep(random.nextInt(MAX_SIGNAL_INTERVAL_MS));
            relay.signal(signal);
        }
    }

    private Outcome outcome(FakeDeployment deployment, boolean endedEarly) {
        Set<String> executed = new HashSet<>();
        for (FakeDeployment.Execution execution : deployment.executions()) {
            executed.add(execution.traceId());
        }
        List<String> lost = new ArrayList<>();
        for (String id : executed) {
            if (id.startsWith("soak-") && !answeredIds.contains(id)) {
                lost.add(id);
            }
        }
        return new Outcome(asked.get(), answeredIds.size(), lost, endedEarly);
    }

    /** Keeps a connection for as long as it is open, then opens the next one, until the run ends. */
    private void askRepeatedly(int port, int client, SplittableRandom own) throws Exception {
        for (int connection = 0; !stopped; connection++) {
            try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
                socket.setTcpNoDelay(true);
                socket.setSoTimeout(CLIENT_TIMEOUT_MS);
                askUntilClosed(socket, "soak-" + client + "-" + connection, own);
            } catch (IOException e) {
                TimeUnit.MILLISECONDS.sleep(1 + own.nextInt(MAX_PAUSE_MS));
            }
        }
    }

    private void askUntilClosed(Socket socket, String prefix, SplittableRandom own) throws Exception {
        boolean open = true;
        for (int i = 0; open && !stopped; i++) {
            String id = prefix + "-" + i;
            String target =
                    (own.nextBoolean() ? "POST /claim" : "GET /read/x") + "?work_ms=" + own.nextInt(MAX_WORK_MS);
            asked.incrementAndGet();
            RawHttp.write(
                    socket,
                    target + " HTTP/1.1\r\nHost: x\r\nX-Trace-Id: " + id + "\r\nX-Expires-In-Ms: " + DEADLINE_MS
                            + "\r\n" + (target.startsWith("POST") ? "Content-Length: 1\r\n\r\nx" : "\r\n"));
            open = RawHttp.readMessage(socket) != null;
            if (open) {
                answeredIds.add(id);
                TimeUnit.MILLISECONDS.sleep(own.nextInt(MAX_PAUSE_MS));
            }
        }
    }
}
