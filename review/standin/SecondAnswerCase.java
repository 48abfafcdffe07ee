import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Random;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** Units send some answers a second time, some milliseconds late, while nothing else waits on the connection. */
final class SecondAnswerCase {
    private static final int UNITS = 9;
    private static final int REQUESTS = 9_000;
    private static final double PER_S = 220;
    private static final long EXPIRES_MS = 2500;
    /** One way, between the relay and a unit. */
    private static final long NETWORK_US = 1_000;
    private static final double SECOND_SHARE = 0.05;
    private static final long EARLIEST_US = 2_000;
    private static final long LATEST_US = 8_000;

    private static final ScheduledExecutorService TIMERS = Executors.newScheduledThreadPool(4);
    private static final Random CHANCE = new Random(7);
    private static final AtomicInteger SECOND_ANSWERS = new AtomicInteger();

    public static void main(String[] args) throws IOException {
        Stand.begin(args);
        StringBuilder list = new StringBuilder();
        for (int i = 0; i < UNITS; i++) {
            list.append(i == 0 ? "" : ",").append(Stand.entry("s-" + i, unit("s-" + i), "kandy-dc"));
        }
        Stand.Discovery discovery = new Stand.Discovery();
        discovery.list(list.toString());
        Stand.Relay relay = new Stand.Relay("n1", discovery, Stand.controller(Stand.NEWS), "");
        relay.start();

        AtomicInteger foreign = new AtomicInteger();
        AtomicInteger served = new AtomicInteger();
        ExecutorService clients = Executors.newCachedThreadPool();
        long nextUs = System.nanoTime() / 1000;
        for (int i = 0; i < REQUESTS; i++) {
            nextUs += (long) (-Math.log(1 - chance()) * 1e6 / PER_S);
            Stand.sleep((nextUs - System.nanoTime() / 1000) / 1000);
            String id = "read-" + i;
            clients.execute(() -> {
                String head = Stand.head("GET", "/weight-read/" + id, id, "k=" + id.hashCode(), EXPIRES_MS, "");
                Stand.Outcome outcome = Stand.request(relay, head, "", EXPIRES_MS);
                boolean isForeign = outcome.status == 200 && !outcome.body.equals("weight of " + id);
                served.addAndGet(outcome.status == 200 ? 1 : 0);
                foreign.addAndGet(isForeign ? 1 : 0);
                Stand.note(id + " " + outcome + (isForeign ? " WITH: " + outcome.body : ""));
            });
        }
        Stand.sleep(EXPIRES_MS + 600);
        Stand.end(
                foreign.get() > 0 ? 1 : 0,
                REQUESTS + " requests, " + served.get() + " served, " + SECOND_ANSWERS.get()
                        + " second answers; served with the answer to another request: " + foreign.get());
    }

    private static synchronized double chance() {
        return CHANCE.nextDouble();
    }

    private static int unit(String name) throws IOException {
        ServerSocket server = new ServerSocket(0, 256, Stand.LOOPBACK);
        Stand.start(name, () -> {
            while (true) {
                Socket socket = server.accept();
                socket.setTcpNoDelay(true);
                Stand.start(name, () -> new Connection(name, socket).serve());
            }
        });
        return server.getLocalPort();
    }

    /** One connection of a unit, behind a network that takes {@link #NETWORK_US} each way. */
    private static final class Connection {
        private final String unit;
        private final Socket socket;
        /** How many requests have reached the unit on this connection. */
        private int arrived;

        Connection(String unit, Socket socket) {
            this.unit = unit;
            this.socket = socket;
        }

        void serve() throws IOException {
            try (socket) {
                InputStream in = new BufferedInputStream(socket.getInputStream());
                for (Stand.Message request = Stand.read(in); request != null; request = Stand.read(in)) {
                    String id = request.header("X-Trace-Id");
                    TIMERS.schedule(() -> begin(id), NETWORK_US, TimeUnit.MICROSECONDS);
                }
            }
        }

        private synchronized void begin(String id) {
            int number = ++arrived;
            long workUs = 85_000 + (long) (65_000 * chance());
            TIMERS.schedule(() -> finish(id, number), workUs, TimeUnit.MICROSECONDS);
        }

        private void finish(String id, int number) {
            byte[] answer = Stand.answer(200, "", "weight of " + id);
            Stand.note(unit + " ran " + id + " and answers it");
            send(answer);
            if (Stand.TROUBLE && chance() < SECOND_SHARE) {
                long lateUs = EARLIEST_US + (long) ((LATEST_US - EARLIEST_US) * chance());
                TIMERS.schedule(() -> sendSecond(id, number, answer), lateUs, TimeUnit.MICROSECONDS);
            }
        }

        /** Sends the answer once more, unless another request has reached the unit on this connection. */
        private synchronized void sendSecond(String id, int number, byte[] answer) {
            if (arrived == number) {
                SECOND_ANSWERS.incrementAndGet();
                Stand.note(unit + " answers " + id + " a second time");
                send(answer);
            }
        }

        private void send(byte[] answer) {
            TIMERS.schedule(() -> write(answer), NETWORK_US, TimeUnit.MICROSECONDS);
        }

        private synchronized void write(byte[] answer) {
            try {
                socket.getOutputStream().write(answer);
            } catch (IOException e) {
                // The relay has closed the connection.
            }
        }
    }
}
