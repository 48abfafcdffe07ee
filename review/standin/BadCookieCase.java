import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/** Bad clients, a hundred at a time, send a cookie that can't be read; usual clients go on beside them. */
final class BadCookieCase {
    private static final int ROUNDS = 6;
    private static final int AT_ONCE = 100;
    private static final int USUAL_CLIENTS = 4;
    private static final long EXPIRES_MS = 2000;
    /** What bad clients are owed an error or a close within, and the 50 ms that the sockets add. */
    private static final long OWED_MS = 3050;

    public static void main(String[] args) throws IOException {
        Stand.begin(args);
        StringBuilder list = new StringBuilder();
        for (int i = 0; i < 10; i++) {
            int unit = Stand.serve("unit", (request, out, socket) -> {
                Stand.note("run " + request.header("X-Trace-Id"));
                Stand.sleep(20);
                out.write(Stand.answer(200, "", "for " + request.header("X-Trace-Id")));
            });
            list.append(i == 0 ? "" : ",").append(Stand.entry("s-" + i, unit, i % 2 == 0 ? "colombo-dc" : "kandy-dc"));
        }
        Stand.Discovery discovery = new Stand.Discovery();
        discovery.list(list.toString());
        Stand.Relay relay = new Stand.Relay("n1", discovery, Stand.controller(Stand.NEWS), "");
        relay.start();

        AtomicBoolean stop = new AtomicBoolean();
        AtomicInteger sent = new AtomicInteger();
        AtomicInteger lost = new AtomicInteger();
        List<Thread> usual = new ArrayList<>();
        for (int i = 0; i < USUAL_CLIENTS; i++) {
            int client = i;
            usual.add(Stand.start("usual", () -> {
                while (!stop.get()) {
                    String id = "usual-" + client + "-" + sent.incrementAndGet();
                    Stand.Outcome outcome = Stand.request(
                            relay, Stand.head("GET", "/weight-read/7", id, "k=7f3a", EXPIRES_MS, ""), "", EXPIRES_MS);
                    Stand.note(id + " " + outcome);
                    lost.addAndGet(outcome.lost ? 1 : 0);
                    Stand.sleep(200);
                }
            }));
        }
        AtomicInteger owed = new AtomicInteger();
        for (int round = 0; round < ROUNDS; round++) {
            badClients(relay, round, owed);
            Stand.sleep(300);
        }
        // All bad clients have left. The usual ones go on for a while.
        Stand.sleep(5000);
        boolean ready = relay.ready();
        Stand.note("GET /-/ready: " + (ready ? "200" : "no answer in 1 s") + ", process "
                + (relay.isAlive() ? "alive" : "ended"));
        stop.set(true);
        usual.forEach(thread -> join(thread));
        String counts = sent.get() + " requests of usual clients, " + lost.get() + " lost; "
                + ROUNDS * AT_ONCE + (Stand.TROUBLE ? " bad clients, " : " other clients, ") + owed.get()
                + " got neither an answer nor a close in 3 s; ready at the end: " + ready;
        Stand.end(lost.get() > 0 ? 1 : 0, counts);
    }

    private static void badClients(Stand.Relay relay, int round, AtomicInteger owed) {
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < AT_ONCE; i++) {
            int number = round * AT_ONCE + i;
            threads.add(Stand.start("bad", () -> badClient(relay, number, owed)));
        }
        threads.forEach(thread -> join(thread));
    }

    /** Sends head and body in two parts, reads what comes, and closes after 3 s at the latest. */
    private static void badClient(Stand.Relay relay, int number, AtomicInteger owed) {
        String cookie = Stand.TROUBLE ? "$Version=x; k=7f3a" : "k=7f3a";
        long connectedMs = Stand.ms();
        try (Socket socket = relay.connect((int) OWED_MS)) {
            String body = "reading=" + "0".repeat(204);
            String head = Stand.head(
                    "POST", "/harvest-log", "other-" + number, cookie, 2000, "Content-Length: " + body.length() + "\r\n");
            socket.getOutputStream().write(head.getBytes());
            Stand.sleep(100);
            socket.getOutputStream().write(body.getBytes());
            Stand.note("sent other-" + number);
            socket.setSoTimeout((int) Math.max(1, OWED_MS - (Stand.ms() - connectedMs)));
            Stand.Message answer = Stand.read(new BufferedInputStream(socket.getInputStream()));
            Stand.note("other-" + number + " " + (answer == null ? "closed" : "answered " + answer.status()));
        } catch (SocketTimeoutException e) {
            owed.incrementAndGet();
            Stand.note("other-" + number + " got nothing in " + (Stand.ms() - connectedMs) + " ms and leaves");
        } catch (IOException e) {
            Stand.note("other-" + number + " " + e);
        }
    }

    private static void join(Thread thread) {
        try {
            thread.join(15_000);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }
}
