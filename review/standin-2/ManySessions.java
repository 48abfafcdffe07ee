import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * Clients hold as many quiet WebSocket sessions as the relay admits. Usual clients, on fewer connections than a third of
 * the descriptors, have to get their final answers beside them.
 */
final class ManySessions {
    private static final int DESCRIPTORS = 512;
    /** A fifth of the descriptors, the most that the relay takes from the operator's file. */
    private static final int SESSIONS = 102;
    /** A third of the descriptors would be 170. */
    private static final int USUAL_CLIENTS = 150;
    private static final int ASKS = 6;
    private static final int ASK_EVERY_MS = 1_000;
    private static final int PATIENCE_MS = 1_000;
    private static final int GRACE_MS = 550;
    private static final int GONE_MS = 150;

    private static final String VERSION = "{\"format\":1,\"unmatched\":\"by-class\",\"routes\":[{\"name\":\"live\","
            + "\"path\":\"/weight-read/live\",\"class\":\"weight-read\",\"sessions\":{\"pingS\":5}}]}";

    private static final List<String> LOST = new CopyOnWriteArrayList<>();
    private static final Map<String, Double> GONE_AT = new ConcurrentHashMap<>();

    public static void main(String[] args) throws Exception {
        Kit.main(args, ManySessions::play);
    }

    private static boolean play(Kit.Setup setup) throws Exception {
        Kit.Platform platform = setup.use(new Kit.Platform(setup.log, 1, 0, "released", 1.0, 60_000));
        Kit.Discovery discovery = setup.use(new Kit.Discovery(setup.log));
        List<SessionUnit> units = new ArrayList<>();
        for (String name : Kit.names(9, "s-")) {
            SessionUnit unit = setup.use(new SessionUnit(name, setup.log, 512));
            unit.start();
            units.add(unit);
            discovery.put(name, unit.address(), "in_service", 1, 0);
        }
        Kit.Control control = setup.use(new Kit.Control(setup.log, 1, VERSION));
        Path operator = setup.temp.resolve("operator.json");
        Files.writeString(
                operator,
                "{\"control\":{\"services\":[\"" + control.address() + "\"]},\"sessions\":{\"most\":" + SESSIONS + "}}");
        Kit.Config config = new Kit.Config();
        config.sockets = DESCRIPTORS;
        config.port = Kit.freePort();
        config.discovery = discovery.address();
        config.deployer = platform.address();
        config.news = platform.state();
        config.known = discovery.list();
        Kit.Relay relay = setup.use(new Kit.Relay(setup, config, " --operator " + operator));
        relay.awaitReady();

        int open = setup.trouble ? openSessions(setup, relay.port) : 0;
        setup.log.line(open + " sessions are open");
        if (setup.trouble && open < SESSIONS) {
            throw new IllegalStateException("the sessions could not be opened");
        }
        List<Thread> usual = new ArrayList<>();
        for (int i = 0; i < USUAL_CLIENTS; i++) {
            String name = "usual-" + i;
            usual.add(Kit.daemon(name, () -> askAgainAndAgain(setup, relay.port, name)));
            Kit.sleep(10);
        }
        for (Thread thread : usual) {
            thread.join(20_000);
        }
        Kit.sleep(500);
        for (SessionUnit unit : units) {
            for (SessionUnit.Event event : unit.events) {
                Double gone = GONE_AT.get(event.id());
                if (gone != null && event.ms() > gone + GONE_MS) {
                    LOST.add(event.id() + " (sent to " + unit.name + " " + (int) (event.ms() - gone) + " ms after the client left)");
                }
            }
        }
        LOST.forEach(line -> setup.log.line("BROKEN: " + line));
        return LOST.isEmpty();
    }

    /** Opens one session after the other; an opening that is turned away is tried again. */
    private static int openSessions(Kit.Setup setup, int port) throws Exception {
        int open = 0;
        for (int i = 0; i < 2 * SESSIONS && open < SESSIONS; i++) {
            String id = "session-" + i;
            Socket socket = Kit.connect(port);
            Kit.write(socket.getOutputStream(), Kit.openingRequest("/weight-read/live/" + i, id));
            Kit.Message answer = Kit.read(socket.getInputStream());
            if (answer != null && answer.status() == 101) {
                open++;
                Kit.daemon(id, () -> stay(setup, socket, id));
            } else {
                setup.log.line(id + " got " + (answer == null ? "a close" : answer.first()));
                socket.close();
            }
            Kit.sleep(30);
        }
        return open;
    }

    private static void stay(Kit.Setup setup, Socket socket, String id) throws IOException {
        try (socket) {
            while (true) {
                Kit.Frame frame = Kit.readFrame(socket.getInputStream());
                if (frame.opcode() == 9) {
                    Kit.writeFrame(socket.getOutputStream(), 10, frame.body(), true);
                } else if (frame.opcode() == 8 || frame.opcode() < 0) {
                    setup.log.line(id + " ended");
                    return;
                }
            }
        }
    }

    /** A client that keeps its connection and asks on it; where the relay has closed it, it asks on a new one. */
    private static void askAgainAndAgain(Kit.Setup setup, int port, String name) throws Exception {
        Socket socket = null;
        for (int i = 0; i < ASKS; i++) {
            String id = name + "-" + i;
            String request = "GET /weight-read/" + id + " HTTP/1.1\r\nHost: api.internal\r\nX-Trace-Id: " + id
                    + "\r\nX-Customer: matale-do\r\nX-Expires-In-Ms: " + PATIENCE_MS + "\r\n\r\n";
            Kit.Message answer = null;
            for (int tries = 0; tries < 2 && answer == null; tries++) {
                double startMs = setup.log.ms();
                try {
                    if (socket == null) {
                        socket = Kit.connect(port);
                        socket.setSoTimeout(PATIENCE_MS + GRACE_MS);
                    }
                    Kit.write(socket.getOutputStream(), request);
                    startMs = setup.log.ms();
                    answer = Kit.read(socket.getInputStream());
                } catch (SocketTimeoutException e) {
                    LOST.add(id + " (no answer " + (int) (setup.log.ms() - startMs) + " ms after its last byte)");
                    socket.close();
                    GONE_AT.put(id, setup.log.ms());
                    return;
                } catch (IOException e) {
                    // The relay closed the connection between two requests: ask once more on a new one.
                }
                if (answer == null && socket != null) {
                    socket.close();
                    socket = null;
                }
            }
            setup.log.line(id + " got " + (answer == null ? "a close" : answer.first()));
            Kit.sleep(ASK_EVERY_MS);
        }
        if (socket != null) {
            socket.close();
        }
    }
}
