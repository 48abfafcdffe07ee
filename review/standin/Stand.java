import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** What the cases share: the record, a small HTTP server, discovery, the release controller, units and the relay. */
final class Stand {
    static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));
    /** A case that takes longer than this couldn't run. */
    private static final long LIMIT_MS = 110_000;

    private static final long START_NS = System.nanoTime();
    private static PrintWriter record;
    private static Path work;
    private static final List<Process> RELAYS = new ArrayList<>();

    private Stand() {}

    static void begin(String[] args) throws IOException {
        record = new PrintWriter(Files.newBufferedWriter(Path.of(args[0])));
        work = Path.of(args[1]);
        note("trouble " + (TROUBLE ? "on" : "off"));
        Runtime.getRuntime().addShutdownHook(new Thread(() -> RELAYS.forEach(Process::destroyForcibly)));
        start("limit", () -> {
            sleep(LIMIT_MS);
            end(2, "the case did not end in time");
        });
    }

    /** Ends the case: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. */
    static void end(int code, String verdict) {
        note("verdict: " + verdict + " (exit " + code + ")");
        System.out.println(verdict);
        synchronized (Stand.class) {
            record.close();
        }
        RELAYS.forEach(Process::destroyForcibly);
        for (Process relay : RELAYS) {
            try {
                relay.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                break;
            }
        }
        Runtime.getRuntime().halt(code);
    }

    static Path work() {
        return work;
    }

    static long ms() {
        return (System.nanoTime() - START_NS) / 1_000_000;
    }

    static synchronized void note(String line) {
        record.printf("%7d ms  %s%n", ms(), line);
        record.flush();
    }

    static void sleep(long ms) {
        try {
            Thread.sleep(Math.max(0, ms));
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    static Thread start(String name, Task task) {
        Thread thread = new Thread(
                () -> {
                    try {
                        task.run();
                    } catch (IOException e) {
                        // The connection ended.
                    }
                },
                name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    interface Task {
        void run() throws IOException;
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, LOOPBACK)) {
            return socket.getLocalPort();
        }
    }

    /** One HTTP message as it came. */
    static final class Message {
        String first;
        final Map<String, String> headers = new LinkedHashMap<>();
        byte[] body = new byte[0];

        int status() {
            return Integer.parseInt(first.split(" ")[1]);
        }

        String header(String name) {
            return headers.get(name.toLowerCase(Locale.ROOT));
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    /** Reads one message with a Content-Length or chunks; returns null at the end of the stream. */
    static Message read(InputStream in) throws IOException {
        Message message = new Message();
        message.first = line(in);
        if (message.first == null) {
            return null;
        }
        for (String text = line(in); !"".equals(text); text = line(in)) {
            if (text == null) {
                throw new IOException("cut off");
            }
            int colon = text.indexOf(':');
            message.headers.put(
                    text.substring(0, colon).trim().toLowerCase(Locale.ROOT),
                    text.substring(colon + 1).trim());
        }
        if ("chunked".equalsIgnoreCase(message.header("Transfer-Encoding"))) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            for (int size = Integer.parseInt(line(in), 16); size > 0; size = Integer.parseInt(line(in), 16)) {
                body.write(exactly(in, size));
                line(in);
            }
            line(in);
            message.body = body.toByteArray();
        } else if (message.header("Content-Length") != null) {
            message.body = exactly(in, Integer.parseInt(message.header("Content-Length")));
        }
        return message;
    }

    private static byte[] exactly(InputStream in, int length) throws IOException {
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) {
            throw new IOException("cut off");
        }
        return bytes;
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream text = new ByteArrayOutputStream();
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) {
                if (text.size() == 0) {
                    return null;
                }
                throw new IOException("cut off");
            }
            text.write(b);
        }
        return text.toString(StandardCharsets.ISO_8859_1).replace("\r", "");
    }

    static byte[] answer(int status, String headers, String body) {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        return ("HTTP/1.1 " + status + " x\r\n" + headers + "Content-Length: " + bytes.length + "\r\n\r\n" + body)
                .getBytes(StandardCharsets.UTF_8);
    }

    interface Handler {
        /** Answers one request on its connection. */
        void handle(Message request, OutputStream out, Socket socket) throws IOException;
    }

    /** Serves HTTP on a free loopback port, a thread for each connection. */
    static int serve(String name, Handler handler) throws IOException {
        ServerSocket server = new ServerSocket(0, 256, LOOPBACK);
        start(name, () -> {
            while (true) {
                Socket socket = server.accept();
                socket.setTcpNoDelay(true);
                start(name, () -> {
                    try (socket) {
                        InputStream in = new BufferedInputStream(socket.getInputStream());
                        for (Message request = read(in); request != null; request = read(in)) {
                            handler.handle(request, socket.getOutputStream(), socket);
                        }
                    }
                });
            }
        });
        return server.getLocalPort();
    }

    /** Discovery: one list that can be replaced. */
    static final class Discovery {
        final int port;
        private int index = 1;
        private String endpoints = "";

        Discovery() throws IOException {
            port = serve("discovery", this::handle);
        }

        synchronized void list(String entries) {
            endpoints = entries;
            index++;
            notifyAll();
        }

        synchronized String whole() {
            return "{\"index\":" + index + ",\"snapshot\":true,\"endpoints\":[" + endpoints + "]}";
        }

        private void handle(Message request, OutputStream out, Socket socket) throws IOException {
            String target = request.first.split(" ")[1];
            String body;
            synchronized (this) {
                int from = parameter(target, "from", -1);
                long until = ms() + parameter(target, "hold_ms", 0);
                try {
                    while (from == index && ms() < until) {
                        wait(Math.max(1, until - ms()));
                    }
                } catch (InterruptedException e) {
                    throw new IOException(e);
                }
                body = from == index ? "{\"index\":" + index + ",\"snapshot\":false,\"endpoints\":[]}" : whole();
            }
            out.write(answer(200, "Content-Type: application/json\r\n", body));
        }
    }

    static int parameter(String target, String name, int absent) {
        for (String pair : target.substring(target.indexOf('?') + 1).split("&")) {
            if (pair.startsWith(name + "=")) {
                return Integer.parseInt(pair.substring(name.length() + 1));
            }
        }
        return absent;
    }

    /** The release controller: one released build, a sign of life each second. */
    static int controller(String news) throws IOException {
        return serve("controller", (request, out, socket) -> {
            if (request.first.startsWith("GET ")) {
                out.write("HTTP/1.1 200 x\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
                chunk(out, "{\"type\":\"news\",\"object\":" + news + "}\n");
                while (true) {
                    sleep(1000);
                    chunk(out, "{}\n");
                }
            }
            out.write(answer(200, "", news));
        });
    }

    static void chunk(OutputStream out, String text) throws IOException {
        out.write((Integer.toHexString(text.length()) + "\r\n" + text + "\r\n").getBytes(StandardCharsets.US_ASCII));
        out.flush();
    }

    static String entry(String name, int port, String zone) {
        return "{\"name\":\"" + name + "\",\"address\":\"127.0.0.1:" + port + "\",\"zone\":\"" + zone
                + "\",\"type\":\"std-4\",\"group\":0,\"status\":\"in_service\",\"weight\":1.0,\"since_ms\":0,"
                + "\"image_id\":41}";
    }

    static final String NEWS =
            "{\"release\":41,\"tranche\":3,\"mode\":\"released\",\"exposure\":1.0,\"old_ms\":60000}";

    /** The settings of the small deployment hive-scale-lk, as its site file and the page of the wire give them. */
    static final String SETTINGS = "{\"replicasOfMe\":2,\"me\":0,\"discovery\":\"pushed\",\"family\":\"rollout\","
            + "\"zones\":[\"colombo-dc\",\"kandy-dc\"],\"locality\":0,\"flavors\":[\"std-4\",\"slow-4\"],"
            + "\"worthBy\":\"work\",\"weightSource\":\"rough\",\"overShareWorth\":0.2,"
            + "\"clientHabits\":{\"marksRetry\":true},"
            + "\"lanes\":[{\"name\":\"weight-read\",\"effect\":\"repeatable\",\"targetNs\":1000000000,"
            + "\"deadlineNs\":2500000000,\"worth\":2.0,\"lateWorth\":0.0,\"stream\":false},"
            + "{\"name\":\"reading-post\",\"effect\":\"by_key\",\"dedupScope\":\"all\",\"keyTtlNs\":6000000000,"
            + "\"targetNs\":1500000000,\"deadlineNs\":6000000000,\"worth\":5.0,\"lateWorth\":0.0,\"stream\":false},"
            + "{\"name\":\"harvest-log\",\"effect\":\"once\",\"targetNs\":2000000000,\"deadlineNs\":8000000000,"
            + "\"worth\":5.0,\"lateWorth\":0.0,\"stream\":false}],"
            + "\"orgs\":[{\"name\":\"kurunegala-do\",\"quotaPerS\":76.0,\"share\":0.39},"
            + "{\"name\":\"badulla-do\",\"quotaPerS\":61.0,\"share\":0.31},"
            + "{\"name\":\"matale-do\",\"quotaPerS\":59.0,\"share\":0.3}],"
            + "\"limits\":{\"tryLimit\":5,\"mayCancel\":true,\"mayProbe\":false,\"mayTell\":false,"
            + "\"parallelTries\":false,\"retryAfter\":true,\"maxRetryAfterNs\":2000000000,"
            + "\"dialTimeoutNs\":250000000,\"connIdleNs\":30000000000,\"multiplex\":100,\"openCap\":30000},"
            + "\"safety\":{\"answerSlackNs\":20000000,\"coldFrom\":0.34,\"warmWithinNs\":4300000000,"
            + "\"overloadFactor\":2.5,\"fallNs\":1000000000,\"stopSendingWithinNs\":1000000000},"
            + "\"familyInfo\":{\"gateMode\":\"by_count\",\"ayesNeeded\":1,\"toAbort\":1,\"holdVotes\":0,"
            + "\"bakeNs\":1000000000,\"voteLifeNs\":6000000000,\"voteWaitNs\":2000000000,\"apiRate\":15.0,"
            + "\"exposureCaps\":[0.16,0.5,1.0,1.0],\"rings\":[0.08,0.25,0.6,1.0],\"free\":2.0,\"capScope\":\"all\","
            + "\"countedOverNs\":2000000000,\"guardedStages\":0,\"forwardOnly\":false,\"style\":\"parallel\","
            + "\"pushNs\":6000000000,\"tallyNs\":0,\"tallySample\":0.0,\"foundShare\":0.0,\"warmKeys\":false}}";

    /** The control service: sends its version to a relay that holds an earlier one, or holds the poll. */
    static final class Control {
        static final String EPOCH = "1700000000000";
        final int port;
        private int number;
        private String text;
        private int accepted;

        Control() throws IOException {
            port = serve("control", this::handle);
        }

        synchronized void publish(int newNumber, String newText) {
            number = newNumber;
            text = newText;
            note("control service: version " + number + " published");
            notifyAll();
        }

        /** Waits until a relay has acknowledged this version. */
        synchronized boolean awaitAccepted(int wanted, long timeoutMs) {
            long until = ms() + timeoutMs;
            try {
                while (accepted < wanted && ms() < until) {
                    wait(Math.max(1, until - ms()));
                }
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
            return accepted >= wanted;
        }

        private void handle(Message poll, OutputStream out, Socket socket) throws IOException {
            int held = field(poll.text(), "version");
            byte[] answer;
            synchronized (this) {
                if (poll.text().contains("\"accepted\":true") && held > accepted) {
                    accepted = held;
                    note("control service: version " + held + " acknowledged");
                    notifyAll();
                }
                if (poll.text().contains("\"accepted\":false")) {
                    note("control service: refused: " + poll.text());
                }
                long until = ms() + field(poll.text(), "hold_ms");
                try {
                    while (number <= held && ms() < until) {
                        wait(Math.max(1, until - ms()));
                    }
                } catch (InterruptedException e) {
                    throw new IOException(e);
                }
                answer = number <= held
                        ? "HTTP/1.1 204 x\r\n\r\n".getBytes(StandardCharsets.US_ASCII)
                        : answer(
                                200,
                                "X-Plan-Epoch-Born: " + EPOCH + "\r\nX-Plan-Epoch-Id: a\r\nX-Plan-Version: " + number
                                        + "\r\nX-Plan-Nonce: n" + number + "\r\n",
                                text);
            }
            out.write(answer);
        }

        private static int field(String json, String name) {
            int at = json.indexOf("\"" + name + "\":");
            if (at < 0) {
                return 0;
            }
            int end = at + name.length() + 3;
            int from = end;
            while (end < json.length() && Character.isDigit(json.charAt(end))) {
                end++;
            }
            return Integer.parseInt(json.substring(from, end));
        }
    }

    /** The relay under test, started by the command of the deploy file. */
    static final class Relay {
        final int port;
        private final Path config;
        private final String options;
        private final String name;
        private final String discoveryAddress;
        private Process process;

        /** Prepares a relay; {@code options} is added to the command of the deploy file. */
        Relay(String name, Discovery discovery, int controllerPort, String options) throws IOException {
            this.name = name;
            this.port = freePort();
            this.options = options;
            this.discoveryAddress = "127.0.0.1:" + discovery.port;
            this.config = work.resolve(name + ".json");
            Files.writeString(
                    config,
                    "{\"name\":\"" + name + "\",\"listen\":\"127.0.0.1:" + port + "\",\"discovery\":\"127.0.0.1:"
                            + discovery.port + "\",\"seed\":\"8c1f30d27a5be964\","
                            + "\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},"
                            + "\"deployer\":{\"address\":\"127.0.0.1:" + controllerPort + "\",\"news\":" + NEWS + "},"
                            + "\"known\":" + discovery.whole() + ",\"settings\":" + SETTINGS + "}");
        }

        /** Starts the process and waits until it is ready. */
        void start() throws IOException {
            ProcessBuilder builder =
                    new ProcessBuilder("/bin/sh", "-c", System.getenv("RELAY_COMMAND") + " " + options);
            builder.environment().put("PROXY_CONFIG", config.toString());
            builder.environment().put("PROXY_NAME", name);
            builder.environment().put("PROXY_LISTEN", "127.0.0.1:" + port);
            builder.environment().put("PROXY_DISCOVERY", discoveryAddress);
            builder.environment().put("TMPDIR", work.toString());
            builder.redirectErrorStream(true);
            builder.redirectOutput(ProcessBuilder.Redirect.appendTo(new File(work.toFile(), name + ".log")));
            process = builder.start();
            RELAYS.add(process);
            Files.writeString(
                    work.resolve("relay.pids"),
                    process.pid() + "\n",
                    StandardOpenOption.CREATE,
                    StandardOpenOption.APPEND);
            note("relay " + name + " started");
            long until = ms() + 30_000;
            while (!ready()) {
                if (ms() > until || !process.isAlive()) {
                    note("log of the relay: " + log());
                    end(2, "the relay did not become ready");
                }
                sleep(50);
            }
            note("relay " + name + " is ready");
        }

        /** Whether GET /-/ready is answered 200 within a second. */
        boolean ready() {
            try (Socket socket = connect(1000)) {
                Message answer = exchange(socket, "GET /-/ready HTTP/1.1\r\nHost: api.internal\r\n\r\n", "");
                return answer != null && answer.status() == 200;
            } catch (IOException e) {
                return false;
            }
        }

        boolean isAlive() {
            return process.isAlive();
        }

        /** Sends SIGTERM. */
        void terminate() {
            process.destroy();
        }

        /** Sends SIGKILL and waits for the end. */
        void kill() {
            process.destroyForcibly();
            await();
        }

        void await() {
            try {
                process.waitFor(10, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
        }

        String log() throws IOException {
            return Files.readString(work.resolve(name + ".log"));
        }

        Socket connect(int timeoutMs) throws IOException {
            Socket socket = new Socket();
            socket.setTcpNoDelay(true);
            socket.connect(new InetSocketAddress(LOOPBACK, port), timeoutMs);
            socket.setSoTimeout(timeoutMs);
            return socket;
        }
    }

    /** Sends one request and reads its answer; null if the connection ended first. */
    static Message exchange(Socket socket, String head, String body) throws IOException {
        socket.getOutputStream().write((head + body).getBytes(StandardCharsets.UTF_8));
        return read(new BufferedInputStream(socket.getInputStream()));
    }

    static String head(String method, String path, String id, String cookie, long expiresMs, String more) {
        return method + " " + path + " HTTP/1.1\r\nHost: api.internal\r\nX-Trace-Id: " + id
                + "\r\nX-Customer: badulla-do\r\nCookie: " + cookie + "\r\nX-Expires-In-Ms: " + expiresMs + "\r\n"
                + more + "\r\n";
    }

    /** How one request of a usual client ended. */
    static final class Outcome {
        final int status;
        final String body;
        final long tookMs;
        /** Not answered by half a second after its time, or its connection closed with no answer. */
        final boolean lost;

        Outcome(int status, String body, long tookMs, boolean lost) {
            this.status = status;
            this.body = body;
            this.tookMs = tookMs;
            this.lost = lost;
        }

        @Override
        public String toString() {
            return (lost ? "LOST" : "answered " + status) + " after " + tookMs + " ms";
        }
    }

    /** Sends one request on a new connection and waits until half a second after its time. */
    static Outcome request(Relay relay, String head, String body, long expiresMs) {
        long sentMs = ms();
        try (Socket socket = relay.connect(2000)) {
            sentMs = ms();
            socket.setSoTimeout((int) expiresMs + 500);
            note("sent " + head.replaceAll("(?s).*X-Trace-Id: (\\S+).*", "$1"));
            Message answer = exchange(socket, head, body);
            return answer == null
                    ? new Outcome(0, "", ms() - sentMs, true)
                    : new Outcome(answer.status(), answer.text(), ms() - sentMs, false);
        } catch (SocketTimeoutException e) {
            return new Outcome(0, "", ms() - sentMs, true);
        } catch (IOException e) {
            return new Outcome(0, e.toString(), ms() - sentMs, true);
        }
    }
}
