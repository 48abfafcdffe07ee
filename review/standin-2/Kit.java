import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.util.ArrayList;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** What all cases share: the record, the relay's process, and small stand-ins for its peers, all on loopback. */
final class Kit {
    static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int CANNOT_RUN = 2;
    private static final String ACCEPT_GUID = "258EAFA5-E914-47DA-95CA-C5AB0DC85B11";

    private Kit() {}

    /** One case: it returns whether the rule held. */
    interface Case {
        boolean play(Setup setup) throws Exception;
    }

    /** Everything that a case starts, all of which ends with it. */
    static final class Setup implements AutoCloseable {
        final Path folder;
        final Path temp;
        final boolean trouble;
        final Log log;
        private final List<Closeable> toClose = new CopyOnWriteArrayList<>();

        Setup(Path folder, Path temp, boolean trouble) throws IOException {
            this.folder = folder;
            this.temp = temp;
            this.trouble = trouble;
            this.log = new Log(folder.resolve("record.txt"));
        }

        <T extends Closeable> T use(T part) {
            toClose.add(0, part);
            return part;
        }

        @Override
        public void close() throws IOException {
            for (Closeable part : toClose) {
                try {
                    part.close();
                } catch (IOException e) {
                    log.line("closing " + part + ": " + e);
                }
            }
            log.close();
        }
    }

    /** Plays a case and exits with 0 if the rule held, 1 if it was broken, 2 if the case could not run. */
    static void main(String[] args, Case played) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int exit = CANNOT_RUN;
        try (Setup setup = new Setup(Path.of(args[0]), Path.of(args[1]), trouble)) {
            Thread limit = daemon("limit", () -> {
                Thread.sleep(110_000);
                setup.log.line("RESULT 2: the case took too long");
                setup.close();
                Runtime.getRuntime().halt(CANNOT_RUN);
            });
            Runtime.getRuntime().addShutdownHook(new Thread(() -> setup.toClose.forEach(part -> {
                if (part instanceof Relay relay) {
                    relay.kill();
                }
            })));
            setup.log.line("trouble " + (trouble ? "on" : "off"));
            try {
                exit = played.play(setup) ? HELD : BROKEN;
            } catch (Exception | AssertionError e) {
                setup.log.line("could not run: " + e);
                for (StackTraceElement at : e.getStackTrace()) {
                    setup.log.line("  at " + at);
                }
            }
            setup.log.line("RESULT " + exit + (exit == HELD ? ": the rule held" : exit == BROKEN ? ": the rule was broken" : ""));
            limit.interrupt();
        }
        System.exit(exit);
    }

    /** The record of a play, with the time since its start in milliseconds. */
    static final class Log {
        private final long startNs = System.nanoTime();
        private final java.io.Writer out;

        Log(Path file) throws IOException {
            out = Files.newBufferedWriter(file);
        }

        double ms() {
            return (System.nanoTime() - startNs) / 1e6;
        }

        synchronized void line(String text) {
            String line = String.format(Locale.ROOT, "%9.1f  %s%n", ms(), text);
            try {
                out.write(line);
                out.flush();
            } catch (IOException e) {
                // The record is closed: the play is over.
            }
            System.out.print(line);
        }

        synchronized void close() throws IOException {
            out.close();
        }
    }

    interface Task {
        void run() throws Exception;
    }

    static Thread daemon(String name, Task task) {
        Thread thread = new Thread(
                () -> {
                    try {
                        task.run();
                    } catch (Exception e) {
                        // The connection or the stand-in has ended.
                    }
                },
                name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static void sleep(long ms) throws InterruptedException {
        if (ms > 0) {
            TimeUnit.MILLISECONDS.sleep(ms);
        }
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, LOOPBACK)) {
            return socket.getLocalPort();
        }
    }

    // ---------------------------------------------------------------- HTTP

    /** A request or response as it was read. */
    record Message(String first, Map<String, String> headers, byte[] body) {
        String header(String name) {
            return headers.get(name.toLowerCase(Locale.ROOT));
        }

        String id() {
            return header("X-Trace-Id");
        }

        String method() {
            return first.split(" ")[0];
        }

        String target() {
            return first.split(" ")[1];
        }

        int status() {
            return Integer.parseInt(first.split(" ")[1]);
        }

        String text() {
            return new String(body, StandardCharsets.ISO_8859_1);
        }
    }

    /** Reads one message; null at the end of the stream. */
    static Message read(InputStream in) throws IOException {
        String first = readLine(in);
        if (first == null) {
            return null;
        }
        Map<String, String> headers = new LinkedHashMap<>();
        for (String line = readLine(in); ; line = readLine(in)) {
            if (line == null) {
                throw new EOFException("head cut off");
            }
            if (line.isEmpty()) {
                break;
            }
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
        }
        byte[] body = {};
        if (headers.containsKey("content-length")) {
            int length = Integer.parseInt(headers.get("content-length"));
            body = in.readNBytes(length);
            if (body.length < length) {
                throw new EOFException("body cut off");
            }
        } else if ("chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) {
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            for (int size = Integer.parseInt(readLine(in), 16); size > 0; size = Integer.parseInt(readLine(in), 16)) {
                all.write(in.readNBytes(size));
                readLine(in);
            }
            readLine(in);
            body = all.toByteArray();
        }
        return new Message(first, headers, body);
    }

    static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int b = in.read(); b >= 0; b = in.read()) {
            if (b == '\n') {
                String text = line.toString(StandardCharsets.ISO_8859_1);
                return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
            }
            line.write(b);
        }
        return null;
    }

    static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    static void respond(OutputStream out, String status, String headers, String body) throws IOException {
        write(out, "HTTP/1.1 " + status + "\r\n" + headers + "Content-Length: " + body.length() + "\r\n\r\n" + body);
    }

    static Socket connect(int port) throws IOException {
        Socket socket = new Socket(LOOPBACK, port);
        socket.setTcpNoDelay(true);
        return socket;
    }

    // ---------------------------------------------------------------- servers

    /** A server on loopback, with a thread for each connection. */
    abstract static class Server implements Closeable {
        final ServerSocket listener;
        final List<Socket> sockets = new CopyOnWriteArrayList<>();

        Server() throws IOException {
            this(0, 512);
        }

        Server(int port, int backlog) throws IOException {
            listener = new ServerSocket(port, backlog, LOOPBACK);
        }

        /** Begins to accept connections. */
        void start() {
            daemon(getClass().getSimpleName(), () -> {
                while (!listener.isClosed()) {
                    Socket socket = listener.accept();
                    socket.setTcpNoDelay(true);
                    sockets.add(socket);
                    daemon(getClass().getSimpleName(), () -> {
                        try (socket) {
                            serve(socket);
                        } finally {
                            sockets.remove(socket);
                        }
                    });
                }
            });
        }

        abstract void serve(Socket socket) throws Exception;

        int port() {
            return listener.getLocalPort();
        }

        String address() {
            return "127.0.0.1:" + port();
        }

        @Override
        public void close() throws IOException {
            listener.close();
            for (Socket socket : sockets) {
                socket.close();
            }
        }
    }

    /** The platform: the state of the newest build, votes, and a connection on which changes are told. */
    static final class Platform extends Server {
        private final Log log;
        private int build;
        private int stage;
        private String mode;
        private double cap;
        private long sinceNs;
        private int change;

        Platform(Log log, int build, int stage, String mode, double cap, long oldMs) throws IOException {
            this.log = log;
            set(build, stage, mode, cap, oldMs);
            start();
        }

        synchronized void set(int newBuild, int newStage, String newMode, double newCap, long oldMs) {
            build = newBuild;
            stage = newStage;
            mode = newMode;
            cap = newCap;
            sinceNs = System.nanoTime() - oldMs * 1_000_000;
            change++;
            log.line("platform: " + state());
            notifyAll();
        }

        synchronized String state() {
            return "{\"release\":" + build + ",\"tranche\":" + stage + ",\"mode\":\"" + mode + "\",\"exposure\":" + cap
                    + ",\"old_ms\":" + (System.nanoTime() - sinceNs) / 1_000_000 + "}";
        }

        @Override
        void serve(Socket socket) throws Exception {
            for (Message call = read(socket.getInputStream()); call != null; call = read(socket.getInputStream())) {
                if (call.target().endsWith("/judgements")) {
                    log.line("vote " + call.text());
                    respond(socket.getOutputStream(), "200 OK", "Content-Type: application/json\r\n", state());
                } else {
                    tellChanges(socket.getOutputStream());
                    return;
                }
            }
        }

        private void tellChanges(OutputStream out) throws Exception {
            write(out, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            int told = -1;
            long newsNs = System.nanoTime();
            while (true) {
                String line = "{}\n";
                synchronized (this) {
                    if (told == change) {
                        wait(1_000);
                    }
                    if (told != change || System.nanoTime() - newsNs > 6_000_000_000L) {
                        told = change;
                        newsNs = System.nanoTime();
                        line = "{\"type\":\"news\",\"object\":" + state() + "}\n";
                    }
                }
                write(out, Integer.toHexString(line.length()) + "\r\n" + line + "\r\n");
                if (line.length() > 3) {
                    log.line("told the relay " + line.trim());
                }
            }
        }
    }

    /** Discovery: the list of units and its changes. */
    static final class Discovery extends Server {
        private final Log log;
        private final Map<String, String> entries = new LinkedHashMap<>();
        private final TreeMap<Integer, String> changes = new TreeMap<>();
        private int index = 1;
        String zone = "colombo-dc";
        String type = "std-4";
        /** How long an answer takes beyond the wait that the call asked for. */
        volatile long slowMs;
        /** When the first call came, on the clock of the record. */
        volatile double firstCallMs = -1;

        Discovery(Log log) throws IOException {
            this.log = log;
            start();
        }

        String entry(String name, String address, String status, int build, long sinceMs) {
            return "{\"name\":\"" + name + "\",\"address\":\"" + address
                    + "\",\"zone\":\"" + zone + "\",\"type\":\"" + type + "\",\"group\":0,\"status\":\"" + status
                    + "\",\"weight\":1.0,\"since_ms\":" + sinceMs + ",\"image_id\":" + build + "}";
        }

        synchronized void put(String name, String address, String status, int build, long sinceMs) {
            String entry = entry(name, address, status, build, sinceMs);
            if (status.equals("terminated")) {
                entries.remove(name);
            } else {
                entries.put(name, entry);
            }
            changes.put(++index, entry);
            log.line("discovery: " + name + " " + status + " build " + build);
            notifyAll();
        }

        synchronized String list() {
            return "{\"index\":" + index + ",\"snapshot\":true,\"endpoints\":[" + String.join(",", entries.values()) + "]}";
        }

        private synchronized String changesSince(int from, long holdMs) throws InterruptedException {
            long endNs = System.nanoTime() + holdMs * 1_000_000;
            while (index <= from && System.nanoTime() < endNs) {
                wait(Math.max(1, (endNs - System.nanoTime()) / 1_000_000));
            }
            Map<String, String> latest = new LinkedHashMap<>();
            changes.tailMap(from, false).values().forEach(entry -> latest.put(entry.split("\"")[3], entry));
            return "{\"index\":" + index + ",\"snapshot\":false,\"endpoints\":[" + String.join(",", latest.values()) + "]}";
        }

        @Override
        void serve(Socket socket) throws Exception {
            Pattern watch = Pattern.compile("from=(\\d+)&hold_ms=(\\d+)");
            for (Message call = read(socket.getInputStream()); call != null; call = read(socket.getInputStream())) {
                if (firstCallMs < 0) {
                    firstCallMs = log.ms();
                }
                log.line("discovery is asked " + call.target());
                Matcher match = watch.matcher(call.target());
                String answer = match.find()
                        ? changesSince(Integer.parseInt(match.group(1)), Long.parseLong(match.group(2)))
                        : list();
                sleep(slowMs);
                respond(socket.getOutputStream(), "200 OK", "Content-Type: application/json\r\n", answer);
                if (!answer.endsWith("[]}")) {
                    log.line("told the relay a list: " + answer);
                }
            }
        }
    }

    /** The control service: one version of the configuration, given to each relay that does not hold it. */
    static final class Control extends Server {
        private final Log log;
        private final String epochId = "standin";
        private int number;
        private String text;
        volatile int acknowledged;
        volatile int turnedDown;

        Control(Log log, int number, String text) throws IOException {
            this.log = log;
            publish(number, text);
            start();
        }

        synchronized void publish(int newNumber, String newText) {
            number = newNumber;
            text = newText;
            log.line("control service: version " + number);
            notifyAll();
        }

        @Override
        void serve(Socket socket) throws Exception {
            Pattern held = Pattern.compile("\"version\":\\s*(\\d+)");
            Pattern hold = Pattern.compile("\"hold_ms\":\\s*(\\d+)");
            for (Message call = read(socket.getInputStream()); call != null; call = read(socket.getInputStream())) {
                Matcher holds = held.matcher(call.text());
                int version = holds.find() ? Integer.parseInt(holds.group(1)) : 0;
                Matcher nonce = Pattern.compile("\"nonce\":\"n(\\d+)\"").matcher(call.text());
                if (call.text().contains("\"accepted\":false") && nonce.find()) {
                    int refused = Integer.parseInt(nonce.group(1));
                    if (refused > turnedDown) {
                        turnedDown = refused;
                        log.line("the relay turned version " + refused + " down: "
                                + call.text().substring(0, Math.min(600, call.text().length())));
                    }
                }
                if (version > acknowledged) {
                    acknowledged = version;
                    log.line("the relay holds version " + version);
                }
                Matcher holdMs = hold.matcher(call.text());
                long endNs = System.nanoTime() + (holdMs.find() ? Long.parseLong(holdMs.group(1)) : 0) * 1_000_000;
                int answered;
                String body;
                synchronized (this) {
                    while (number <= version && System.nanoTime() < endNs) {
                        wait(Math.max(1, (endNs - System.nanoTime()) / 1_000_000));
                    }
                    answered = number;
                    body = text;
                }
                if (answered <= version) {
                    write(socket.getOutputStream(), "HTTP/1.1 204 No Content\r\n\r\n");
                } else {
                    respond(
                            socket.getOutputStream(),
                            "200 OK",
                            "X-Plan-Epoch-Born: 1\r\nX-Plan-Epoch-Id: " + epochId + "\r\nX-Plan-Version: " + answered
                                    + "\r\nX-Plan-Nonce: n" + answered + "\r\n",
                            body);
                }
            }
        }
    }

    // ---------------------------------------------------------------- WebSocket

    /** A frame; opcode -1 stands for the end of the connection. */
    record Frame(int opcode, byte[] body) {
        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }

        int code() {
            return body.length < 2 ? 1005 : ((body[0] & 0xff) << 8) | (body[1] & 0xff);
        }
    }

    static String acceptKey(String key) throws Exception {
        byte[] hash = MessageDigest.getInstance("SHA-1").digest((key + ACCEPT_GUID).getBytes(StandardCharsets.US_ASCII));
        return Base64.getEncoder().encodeToString(hash);
    }

    static Frame readFrame(InputStream in) throws IOException {
        int first = in.read();
        int second = in.read();
        if (second < 0) {
            return new Frame(-1, new byte[0]);
        }
        long length = second & 0x7f;
        if (length == 126) {
            length = (in.read() << 8) | in.read();
        } else if (length == 127) {
            length = 0;
            for (byte b : in.readNBytes(8)) {
                length = (length << 8) | (b & 0xff);
            }
        }
        byte[] mask = (second & 0x80) != 0 ? in.readNBytes(4) : new byte[4];
        byte[] body = in.readNBytes((int) length);
        for (int i = 0; i < body.length; i++) {
            body[i] ^= mask[i & 3];
        }
        return new Frame(first & 0x0f, body);
    }

    static void writeFrame(OutputStream out, int opcode, byte[] body, boolean masked) throws IOException {
        ByteArrayOutputStream frame = new ByteArrayOutputStream();
        frame.write(0x80 | opcode);
        int bit = masked ? 0x80 : 0;
        if (body.length < 126) {
            frame.write(bit | body.length);
        } else {
            frame.write(bit | 126);
            frame.write(body.length >> 8);
            frame.write(body.length);
        }
        byte[] mask = {0x11, 0x22, 0x33, 0x44};
        if (masked) {
            frame.write(mask);
        }
        for (int i = 0; i < body.length; i++) {
            frame.write(masked ? body[i] ^ mask[i & 3] : body[i]);
        }
        out.write(frame.toByteArray());
        out.flush();
    }

    static String openingRequest(String target, String id) {
        return "GET " + target + " HTTP/1.1\r\nHost: api.internal\r\nX-Trace-Id: " + id
                + "\r\nX-Customer: kurunegala-do\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"
                + "Sec-WebSocket-Version: 13\r\nSec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n";
    }

    // ---------------------------------------------------------------- the relay

    /** The configuration of one relay, with settings like those of a small deployment of the pages: hive-scale-lk. */
    static final class Config {
        String name = "n1";
        int port;
        String discovery;
        String deployer;
        String news;
        String known;
        int relays = 2;
        int sockets = 1024;
        String discoveryForm = "pushed";
        String places = "\"zones\":[\"colombo-dc\",\"kandy-dc\"],\"flavors\":[\"std-4\",\"slow-4\"]";
        String lanes = lane("weight-read", "repeatable", 5_000, 1_000, 2_500, 2) + ","
                + lane("reading-post", "by_key", 6_000, 1_500, 6_000, 5) + ","
                + lane("harvest-log", "once", 5_000, 2_000, 8_000, 5);
        String orgs = "\"orgs\":[{\"name\":\"kurunegala-do\",\"quotaPerS\":76.0,\"share\":0.39},"
                + "{\"name\":\"badulla-do\",\"quotaPerS\":61.0,\"share\":0.31},"
                + "{\"name\":\"matale-do\",\"quotaPerS\":59.0,\"share\":0.3}],";
        String limits = "\"tryLimit\":5,\"connIdleNs\":30000000000,\"parallelTries\":false";
        String safety = "\"coldFrom\":0.34,\"warmWithinNs\":4300000000,\"overloadFactor\":2.5,\"fallNs\":1000000000";
        String rollout = "\"gateMode\":\"by_count\",\"bakeNs\":1000000000,\"voteWaitNs\":2000000000,"
                + "\"exposureCaps\":[0.16,0.5,1.0,1.0],\"guardedStages\":0,\"apiRate\":15,\"ayesNeeded\":1";

        static String lane(String name, String effect, int ttlMs, int aimMs, int deadlineMs, int worth) {
            return "{\"name\":\"" + name + "\",\"effect\":\"" + effect + "\",\"dedupScope\":\"all\",\"keyTtlNs\":" + ttlMs
                    + "000000,\"targetNs\":" + aimMs + "000000,\"deadlineNs\":" + deadlineMs + "000000,\"worth\":" + worth + "}";
        }

        String text() {
            return "{\"name\":\"" + name + "\",\"listen\":\"127.0.0.1:" + port + "\",\"discovery\":\"" + discovery
                    + "\",\"seed\":\"8c1f30d27a5be964\",\n\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":" + sockets
                    + "},\n\"deployer\":{\"address\":\"" + deployer + "\",\"news\":" + news + "},\n\"known\":" + known
                    + ",\n\"settings\":{\"replicasOfMe\":" + relays + ",\"me\":0,\"discovery\":\"" + discoveryForm + "\","
                    + places + ",\"overShareWorth\":0.2,\"lanes\":[" + lanes + "]," + orgs
                    + "\"limits\":{\"mayCancel\":true,\"retryAfter\":true,\"maxRetryAfterNs\":2000000000,"
                    + "\"dialTimeoutNs\":250000000," + limits + "},"
                    + "\"safety\":{\"answerSlackNs\":20000000,\"askWithinNs\":10000000000,"
                    + "\"stopSendingWithinNs\":1000000000," + safety + "},"
                    + "\"familyInfo\":{\"voteLifeNs\":6000000000,\"free\":2,\"capScope\":\"all\","
                    + "\"countedOverNs\":2000000000,\"forwardOnly\":false,\"toAbort\":1,\"pushNs\":6000000000," + rollout
                    + "}}}\n";
        }

        /** Settings like those of the site anuradhapura-apiary, whose discovery answers only when it is asked. */
        void useAnuradhapura() {
            discoveryForm = "on_request";
            places = "\"zones\":[\"anuradhapura-room\"],\"flavors\":[\"full-node\",\"light-node\"]";
            lanes = lane("apiary-lookup", "repeatable", 5_000, 1_500, 4_000, 1) + ","
                    + lane("inspection-report", "repeatable", 5_000, 2_000, 6_000, 2) + ","
                    + lane("consignment-entry", "once", 5_000, 1_200, 4_000, 5);
            orgs = "";
            limits = "\"tryLimit\":4,\"connIdleNs\":15000000000,\"parallelTries\":true";
            safety = "\"coldFrom\":0.33,\"warmWithinNs\":4800000000,\"overloadFactor\":4.0,\"fallNs\":1000000000";
            rollout = "\"gateMode\":\"automatic\",\"autoAfterNs\":4000000000,\"bakeNs\":0,\"holdVotes\":1,"
                    + "\"voteWaitNs\":1200000000,\"exposureCaps\":[0.17,0.6,1.0],\"guardedStages\":1,\"apiRate\":30,"
                    + "\"ayesNeeded\":0";
        }
    }

    /** A relay, started with the command of the deploy file. */
    static final class Relay implements Closeable {
        final Process process;
        final int port;
        private final Log log;
        private final Path output;

        Relay(Setup setup, Config config, String arguments) throws IOException {
            this.port = config.port;
            this.log = setup.log;
            Path file = setup.temp.resolve(config.name + ".json");
            Files.writeString(file, config.text());
            output = setup.temp.resolve(config.name + "-" + System.nanoTime() + ".log");
            Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(Files.readString(Path.of("deploy/balancer.toml")));
            if (!run.find()) {
                throw new IOException("deploy/balancer.toml has no line run");
            }
            ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run.group(1) + arguments)
                    .redirectErrorStream(true)
                    .redirectOutput(output.toFile());
            builder.environment().put("PROXY_CONFIG", file.toString());
            builder.environment().put("PROXY_NAME", config.name);
            builder.environment().put("PROXY_LISTEN", "127.0.0.1:" + config.port);
            builder.environment().put("PROXY_DISCOVERY", config.discovery);
            process = builder.start();
            log.line("relay " + config.name + " started");
        }

        void awaitReady() throws Exception {
            for (int i = 0; i < 1_500 && process.isAlive(); i++) {
                try (Socket socket = connect(port)) {
                    write(socket.getOutputStream(), "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n");
                    Message answer = read(socket.getInputStream());
                    if (answer != null && answer.status() == 200) {
                        log.line("relay ready");
                        return;
                    }
                } catch (IOException e) {
                    // It does not listen yet.
                }
                sleep(20);
            }
            throw new IOException("the relay is not ready: " + Files.readString(output));
        }

        void signal(String name) throws Exception {
            log.line("SIG" + name + " to the relay");
            new ProcessBuilder("/bin/sh", "-c", "kill -" + name + " " + process.pid()).inheritIO().start().waitFor();
        }

        void kill() {
            process.destroyForcibly();
        }

        String output() throws IOException {
            return Files.readString(output);
        }

        @Override
        public void close() throws IOException {
            kill();
            try {
                process.waitFor();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            for (String line : output().split("\n")) {
                log.line("relay's output | " + line);
            }
        }
    }

    /** Sends one request on a connection of its own and returns the answer; null if the connection ended without one. */
    static Message ask(int port, String request) throws IOException {
        return ask(port, request, 0);
    }

    /** Does the same, and gives up after some time. */
    static Message ask(int port, String request, int timeoutMs) throws IOException {
        try (Socket socket = connect(port)) {
            socket.setSoTimeout(timeoutMs);
            write(socket.getOutputStream(), request);
            return read(socket.getInputStream());
        } catch (IOException e) {
            return null;
        }
    }

    static InetSocketAddress address(int port) {
        return new InetSocketAddress(LOOPBACK, port);
    }

    static List<String> names(int count, String prefix) {
        List<String> names = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            names.add(prefix + i);
        }
        return names;
    }
}
