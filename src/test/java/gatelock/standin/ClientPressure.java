package gatelock.standin;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Clients that put a relay under pressure, beside ordinary clients that each ask once on a new connection. Whatever the
 * others do, ordinary clients get their answers, and nothing runs for a client that has left or runs twice.
 */
public final class ClientPressure {
    /** What the clients that are not ordinary do. */
    public enum Kind {
        /** Nothing: only ordinary clients, to compare with. */
        ORDINARY_ONLY,
        /** Hundreds of clients write slowly, stop in the middle of a body, or send heads of very many short fields. */
        SLOW,
        /** Hundreds of clients send the largest heads, of very many short parts, and stop just before the end. */
        LARGE_HEADS,
        /** Hundreds of clients send large requests as a whole, as fast as they are answered. */
        LARGE_REQUESTS,
        /** The same, slowly answered by the endpoints, with more behind each request, and long responses not read. */
        LARGE_REQUESTS_AND_RESPONSES,
        /** Clients close their connections with many requests unread, and come again with an id of these. */
        LEAVING,
        /** The same while the relay does not run for 0.3 s at a time, so that closes arrive before requests are read. */
        LEAVING_DURING_PAUSES,
        /** One client sends small requests at full speed on one connection, ever new ones. */
        FLOOD_OF_REQUESTS,
        /** One client sends requests that are rejected, at full speed, under ever new names. */
        FLOOD_OF_UNSOUND_REQUESTS,
        /** One client sends as many requests as it can and reads the answers, under ever new names. */
        FLOOD_IN_TURN,
        /** One client sends bytes without end that never become a request. */
        FLOOD_OF_BYTES
    }

    /**
     * What was seen.
     *
     * @param asked the number of ordinary requests
     * @param unanswered those without an answer half a second after their time
     * @param worstMs the longest time until an answer
     * @param sentAfterClose requests that reached an endpoint well after their client had closed
     * @param ranTwice requests of a class that must not run twice that reached endpoints more than once
     * @param keptWaiting clients under no rule that had neither an error nor a close in the time that they are owed one
     * @param withoutId requests that reached an endpoint without an id, which no client sends
     */
    public record Outcome(
            int asked,
            int unanswered,
            long worstMs,
            List<String> sentAfterClose,
            Set<String> ranTwice,
            int keptWaiting,
            List<String> withoutId) {}

    private static final int MANY_CLIENTS = 400;
    private static final int LEAVING_CLIENTS = 6;
    private static final int PACE_MS = 50;
    /** The time that an ordinary client waits, and the half second after it in which an answer only earns nothing. */
    private static final int PATIENCE_MS = 1_000;

    private static final int GRACE_MS = 550;
    /** An attempt that begins more than 0.1 s after the close is a break; 50 ms are added to each limit. */
    private static final long LEFT_GRACE_NS = 150_000_000;
    /** A client that is not served is owed an error or a close in 3 s; 50 ms are added to each limit. */
    private static final int OWED_MS = 3_050;

    private static final int MAX_BODY_BYTES = 60_000;

    /** Just less than what is read ahead behind a request that waits for its response. */
    private static final int MAX_BEHIND_BYTES = 16_000;

    private static final int SMALL_RECEIVE_BUFFER_BYTES = 2_048;
    private static final int PAUSE_MS = 300;

    private final RelayProcess relay;
    private final FakeDeployment deployment;
    private final long seed;
    private final AtomicInteger unanswered = new AtomicInteger();
    private final AtomicInteger keptWaiting = new AtomicInteger();
    private final AtomicLong worstMs = new AtomicLong();
    private final AtomicInteger ids = new AtomicInteger();
    private final Map<String, Long> leftAtNs = new ConcurrentHashMap<>();
    private volatile boolean stopped;

    /** Puts a relay under pressure; its endpoints are those of the deployment. */
    public ClientPressure(RelayProcess relay, FakeDeployment deployment, long seed) {
        this.relay = relay;
        this.deployment = deployment;
        this.seed = seed;
    }

    /** Runs one kind of clients for some seconds and returns what was seen. */
    public Outcome run(Kind kind, int seconds) throws InterruptedException {
        SplittableRandom random = new SplittableRandom(seed);
        int count =
                switch (kind) {
                    case ORDINARY_ONLY -> 0;
                    case SLOW, LARGE_HEADS, LARGE_REQUESTS, LARGE_REQUESTS_AND_RESPONSES -> MANY_CLIENTS;
                    case LEAVING, LEAVING_DURING_PAUSES -> LEAVING_CLIENTS;
                    default -> 1;
                };
        for (int i = 0; i < count; i++) {
            SplittableRandom own = random.split();
            int number = i;
            BackgroundTask.start(() -> repeat(() -> play(kind, number, own)));
        }
        if (kind == Kind.LEAVING_DURING_PAUSES) {
            BackgroundTask.start(() -> repeat(() -> {
                TimeUnit.MILLISECONDS.sleep(PATIENCE_MS);
                relay.pause(PAUSE_MS);
            }));
        }
        List<Thread> ordinary = new ArrayList<>();
        for (int i = 0; i < seconds * 1_000 / PACE_MS; i++) {
            String id = "usual-" + kind + "-" + i;
            Thread thread = new Thread(() -> askOnce(id));
            thread.start();
            ordinary.add(thread);
            TimeUnit.MILLISECONDS.sleep(PACE_MS);
        }
        for (Thread thread : ordinary) {
            thread.join();
        }
        stopped = true;
        TimeUnit.MILLISECONDS.sleep(PATIENCE_MS);
        return outcome(ordinary.size());
    }

    private Outcome outcome(int asked) {
        List<String> sentAfterClose = new ArrayList<>();
        Set<String> ran = new HashSet<>();
        Set<String> ranTwice = new HashSet<>();
        for (FakeDeployment.Execution execution : deployment.executions()) {
            Long leftNs = leftAtNs.get(execution.traceId());
            if (leftNs != null && execution.atNs() - leftNs > LEFT_GRACE_NS) {
                sentAfterClose.add(execution.traceId() + " after " + (execution.atNs() - leftNs) / 1_000_000 + " ms");
            }
            if (execution.traceId().startsWith("once-") && !ran.add(execution.traceId())) {
                ranTwice.add(execution.traceId());
            }
        }
        return new Outcome(
                asked,
                unanswered.get(),
                worstMs.get(),
                sentAfterClose,
                ranTwice,
                keptWaiting.get(),
                List.copyOf(deployment.requestsWithoutId()));
    }

    private void repeat(BackgroundTask.Work work) {
        while (!stopped) {
            try {
                work.run();
            } catch (Exception e) {
                // The relay has closed the connection; the client comes again.
            }
        }
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), relay.port);
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(PATIENCE_MS + GRACE_MS);
        return socket;
    }

    private void askOnce(String id) {
        long startNs = System.nanoTime();
        try (Socket socket = connect()) {
            RawHttp.write(socket, get("/read/x", id, "X-Expires-In-Ms: " + PATIENCE_MS + "\r\n"));
            if (RawHttp.readMessage(socket) == null) {
                unanswered.incrementAndGet();
            }
        } catch (IOException e) {
            unanswered.incrementAndGet();
        }
        worstMs.accumulateAndGet((System.nanoTime() - startNs) / 1_000_000, Math::max);
    }

    private static String get(String target, String id, String headers) {
        return "GET " + target + " HTTP/1.1\r\nHost: x\r\nX-Trace-Id: " + id + "\r\n" + headers + "\r\n";
    }

    private static String post(String target, String id, String headers, int declaredLength) {
        return "POST " + target + " HTTP/1.1\r\nHost: x\r\nX-Trace-Id: " + id + "\r\n" + headers + "Content-Length: "
                + declaredLength + "\r\n\r\n";
    }

    private String nextId(String prefix) {
        return prefix + "-" + seed + "-" + ids.incrementAndGet();
    }

    private void play(Kind kind, int number, SplittableRandom random) throws Exception {
        switch (kind) {
            case ORDINARY_ONLY -> {}
            case SLOW -> writeSlowly(number);
            case LARGE_HEADS -> stopBeforeEnd(number);
            case LARGE_REQUESTS -> sendLargeRequest();
            case LARGE_REQUESTS_AND_RESPONSES -> leaveLongResponseUnread();
            case LEAVING, LEAVING_DURING_PAUSES -> leaveWithRequestsUnread(random);
            case FLOOD_OF_REQUESTS -> flood(i -> get("/read/" + i, nextId("flood"), names(i)));
            case FLOOD_OF_UNSOUND_REQUESTS -> flood(ClientPressure::unsound);
            case FLOOD_IN_TURN -> floodInTurn();
            case FLOOD_OF_BYTES -> floodWithBytes(random.nextInt(3));
        }
    }

    // ---- Slow clients ----

    private void writeSlowly(int number) throws Exception {
        long startNs = System.nanoTime();
        try (Socket socket = connect()) {
            socket.setSoTimeout(OWED_MS);
            String id = nextId("slow");
            switch (number % 6) {
                case 0 -> writeByteByByte(socket, get("/read/x", id, "X-Pad: " + "p".repeat(5_000) + "\r\n"));
                case 1 ->
                    RawHttp.write(socket, post("/claim", id, "", MAX_BODY_BYTES) + "x".repeat(MAX_BODY_BYTES / 2));
                case 2 ->
                    RawHttp.write(
                            socket, post("/claim", id, fields(), MAX_BODY_BYTES) + "x".repeat(MAX_BODY_BYTES - 1));
                case 3 -> RawHttp.write(socket, post("/claim?" + parameters(), id, "", MAX_BODY_BYTES) + "half");
                case 4 ->
                    RawHttp.write(socket, post("/claim", id, "Cookie: " + cookies() + "\r\n", MAX_BODY_BYTES) + "half");
                default ->
                    RawHttp.write(
                            socket,
                            "POST /claim HTTP/1.1\r\nHost: x\r\nX-Trace-Id: " + id + "\r\n" + fields()
                                    + "Transfer-Encoding: chunked\r\n\r\nEA60\r\n" + "x".repeat(MAX_BODY_BYTES - 1));
            }
            awaitEnd(socket);
        } catch (SocketTimeoutException e) {
            keptWaiting.incrementAndGet();
        } finally {
            if ((System.nanoTime() - startNs) / 1_000_000 > OWED_MS + GRACE_MS) {
                keptWaiting.incrementAndGet();
            }
        }
    }

    private void stopBeforeEnd(int number) throws Exception {
        String head = "POST /claim?" + parameters() + " HTTP/1.1\r\nHost: x\r\nX-Trace-Id: " + nextId("heads") + "\r\n"
                + fields() + "Cookie: " + cookies().substring(0, 5_000) + "\r\n";
        try (Socket socket = connect()) {
            socket.setSoTimeout(OWED_MS);
            String length = "Content-Length: " + MAX_BODY_BYTES + "\r\n\r\n";
            RawHttp.write(socket, number % 2 == 0 ? head : head + length + "x".repeat(MAX_BODY_BYTES - 1));
            awaitEnd(socket);
        } catch (SocketTimeoutException e) {
            keptWaiting.incrementAndGet();
        }
    }

    private void sendLargeRequest() throws Exception {
        try (Socket socket = connect()) {
            socket.setSoTimeout(OWED_MS);
            String head = post("/claim?" + parameters(), nextId("once"), fields(), MAX_BODY_BYTES);
            RawHttp.write(socket, head + "x".repeat(MAX_BODY_BYTES));
            RawHttp.readMessage(socket);
        } catch (SocketTimeoutException e) {
            keptWaiting.incrementAndGet();
        }
    }

    private void leaveLongResponseUnread() throws Exception {
        try (Socket socket = new Socket()) {
            // Set before the connection is established, so that little of the response fits into the sockets.
            socket.setReceiveBufferSize(SMALL_RECEIVE_BUFFER_BYTES);
            socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), relay.port));
            socket.setSoTimeout(OWED_MS);
            String head = post(
                    "/claim?work_ms=1500&response_bytes=60000&" + parameters(),
                    nextId("once"),
                    fields(),
                    MAX_BODY_BYTES);
            RawHttp.write(socket, head + "x".repeat(MAX_BODY_BYTES));
            RawHttp.write(socket, "POST /claim HTTP/1.1\r\nX-Pad: " + "p".repeat(MAX_BEHIND_BYTES));
            TimeUnit.MILLISECONDS.sleep(OWED_MS);
        }
    }

    private void writeByteByByte(Socket socket, String text) throws Exception {
        for (int i = 0; i < text.length() && !stopped; i++) {
            RawHttp.write(socket, text.substring(i, i + 1));
            TimeUnit.MILLISECONDS.sleep(PACE_MS);
        }
    }

    private static String fields() {
        StringBuilder fields = new StringBuilder();
        for (int i = 0; i < 190; i++) {
            fields.append('f').append(i).append(":v\r\n");
        }
        return fields.toString();
    }

    private static String parameters() {
        StringBuilder parameters = new StringBuilder();
        for (int i = 0; i < 990; i++) {
            parameters.append('p').append(i).append("=v&");
        }
        return parameters.toString();
    }

    private static String cookies() {
        StringBuilder cookies = new StringBuilder();
        for (int i = 0; i < 1_500; i++) {
            cookies.append('c').append(i).append("=v; ");
        }
        return cookies.toString();
    }

    private static void awaitEnd(Socket socket) throws IOException {
        InputStream in = socket.getInputStream();
        byte[] buffer = new byte[1_024];
        int count = in.read(buffer);
        while (count >= 0) {
            count = in.read(buffer);
        }
    }

    // ---- Clients that leave ----

    private void leaveWithRequestsUnread(SplittableRandom random) throws Exception {
        List<String> sent = new ArrayList<>();
        try (Socket socket = connect()) {
            int requests = random.nextInt(1, 30);
            int bodyBytes = random.nextInt(4) == 0 ? random.nextInt(20_000) : random.nextInt(300);
            StringBuilder bytes = new StringBuilder();
            for (int i = 0; i < requests; i++) {
                String id = nextId("once");
                sent.add(id);
                bytes.append(post("/claim", id, "", bodyBytes)).append("x".repeat(bodyBytes));
            }
            RawHttp.write(socket, bytes.toString());
            TimeUnit.MILLISECONDS.sleep(random.nextInt(3) * 20L);
        }
        long leftNs = System.nanoTime();
        sent.forEach(id -> leftAtNs.put(id, leftNs));
        TimeUnit.MILLISECONDS.sleep(random.nextInt(100));
        String again = sent.get(random.nextInt(sent.size()));
        leftAtNs.remove(again);
        try (Socket socket = connect()) {
            RawHttp.write(socket, post("/claim", again, "", 1) + "x");
            RawHttp.readMessage(socket);
        }
    }

    // ---- Clients that flood ----

    /** Returns the text to send next. */
    private interface Texts {
        String text(int number);
    }

    /** Returns headers with names and values that were never sent before. */
    private static String names(int number) {
        return "X-Customer: customer-" + number + "\r\nCookie: k=" + Integer.toHexString(number) + "; n" + number
                + "=1\r\nX-New-" + number + ": 1\r\n";
    }

    private static String unsound(int number) {
        return switch (number % 4) {
            case 0 -> get("/route-" + number, "u" + number, names(number));
            case 1 -> get("/read/" + number, "", names(number));
            case 2 -> "DO" + number + " /read/" + number + " HTTP/1.1\r\nHost: h" + number + "\r\n\r\n";
            default -> get("/read", "u" + number, "X-Expires-In-Ms: soon" + number + "\r\n" + names(number));
        };
    }

    private void flood(Texts texts) throws Exception {
        try (Socket socket = connect()) {
            BackgroundTask.start(() -> awaitEnd(socket));
            for (int i = 0; !stopped; i++) {
                RawHttp.write(socket, texts.text(i) + texts.text(i + 1));
            }
        }
    }

    private void floodInTurn() throws Exception {
        try (Socket socket = connect()) {
            for (int i = 0; !stopped; i += 8) {
                StringBuilder bytes = new StringBuilder();
                for (int j = 0; j < 8; j++) {
                    bytes.append(get("/route-" + i + j, nextId("turn"), names(i + j)));
                }
                socket.getOutputStream().write(bytes.toString().getBytes(StandardCharsets.ISO_8859_1));
                for (int j = 0; j < 8; j++) {
                    if (RawHttp.readMessage(socket) == null) {
                        return;
                    }
                }
            }
        }
    }

    private void floodWithBytes(int form) throws Exception {
        String start = form == 1
                ? "POST /claim HTTP/1.1\r\nHost: x\r\nX-Trace-Id: b\r\nTransfer-Encoding: chunked\r\n\r\n"
                : "";
        String bytes =
                form == 0 ? "\r\n".repeat(4_000) : form == 1 ? "1\r\nx\r\n".repeat(500) : "f:v\r\n".repeat(2_000);
        try (Socket socket = connect()) {
            BackgroundTask.start(() -> awaitEnd(socket));
            RawHttp.write(socket, start);
            while (!stopped) {
                RawHttp.write(socket, bytes);
            }
        }
    }
}
