import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * Some hundreds of bad clients stop in the middle of a request and stay, while usual clients come one after another.
 * The usual clients' requests have to get their final answer in time, and nothing may begin for a client that has gone.
 */
final class StoppedClients {
    private static final int DESCRIPTORS = 512;
    private static final int BAD_CLIENTS = 240;
    private static final int USUAL_CLIENTS = 100;
    private static final int BAD_AFTER = 20;
    private static final int PACE_MS = 50;
    /** How long a usual client waits: 40% of the timeout of weight-read. */
    private static final int PATIENCE_MS = 1_000;
    /** Up to half a second after its time an answer only earns nothing; each time limit is 50 ms longer. */
    private static final int GRACE_MS = 550;
    /** An attempt that begins more than 0.1 s after the client's close is a break; 50 ms as above. */
    private static final int GONE_MS = 150;

    public static void main(String[] args) throws Exception {
        Kit.main(args, StoppedClients::play);
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
        Kit.Config config = new Kit.Config();
        config.sockets = DESCRIPTORS;
        config.port = Kit.freePort();
        config.discovery = discovery.address();
        config.deployer = platform.address();
        config.news = platform.state();
        config.known = discovery.list();
        Kit.Relay relay = setup.use(new Kit.Relay(setup, config, ""));
        relay.awaitReady();

        List<String> lost = new CopyOnWriteArrayList<>();
        Map<String, Double> goneAt = new ConcurrentHashMap<>();
        List<Thread> usual = new ArrayList<>();
        for (int i = 0; i < USUAL_CLIENTS; i++) {
            if (i == BAD_AFTER && setup.trouble) {
                setup.log.line(BAD_CLIENTS + " bad clients send half a request each");
                for (int bad = 0; bad < BAD_CLIENTS; bad++) {
                    String id = "bad-" + bad;
                    Kit.daemon(id, () -> stopInTheMiddle(setup, relay.port, id));
                }
            }
            String id = "usual-" + i;
            usual.add(Kit.daemon(id, () -> askOnce(setup, relay.port, id, lost, goneAt)));
            Kit.sleep(PACE_MS);
        }
        for (Thread thread : usual) {
            thread.join(10_000);
        }
        Kit.sleep(2_000);
        for (SessionUnit unit : units) {
            for (SessionUnit.Event event : unit.events) {
                Double gone = goneAt.get(event.id());
                if (gone != null && event.ms() > gone + GONE_MS) {
                    lost.add(event.id() + " (sent to " + unit.name + " " + (int) (event.ms() - gone) + " ms after the client left)");
                }
            }
        }
        lost.forEach(line -> setup.log.line("BROKEN: " + line));
        return lost.isEmpty();
    }

    private static void stopInTheMiddle(Kit.Setup setup, int port, String id) throws IOException {
        try (Socket socket = Kit.connect(port)) {
            Kit.write(
                    socket.getOutputStream(),
                    "POST /reading-post/" + id + " HTTP/1.1\r\nHost: api.internal\r\nX-Trace-Id: " + id
                            + "\r\nIdempotency-Key: " + id + "\r\nContent-Length: 200\r\n\r\nhalf of it");
            double startMs = setup.log.ms();
            String end;
            try {
                Kit.Message answer = Kit.read(socket.getInputStream());
                end = answer == null ? "a close" : answer.first();
            } catch (IOException e) {
                end = e.toString();
            }
            setup.log.line(id + " got " + end + " after " + (int) (setup.log.ms() - startMs) + " ms");
        }
    }

    /** A client that connects, asks once and leaves when it has its answer, or when it is lost anyway. */
    private static void askOnce(Kit.Setup setup, int port, String id, List<String> lost, Map<String, Double> goneAt)
            throws IOException {
        try (Socket socket = Kit.connect(port)) {
            socket.setSoTimeout(PATIENCE_MS + GRACE_MS);
            Kit.write(
                    socket.getOutputStream(),
                    "GET /weight-read/" + id + " HTTP/1.1\r\nHost: api.internal\r\nX-Trace-Id: " + id
                            + "\r\nX-Customer: matale-do\r\nX-Expires-In-Ms: " + PATIENCE_MS + "\r\n\r\n");
            double startMs = setup.log.ms();
            String end;
            boolean answered = false;
            try {
                Kit.Message answer = Kit.read(socket.getInputStream());
                end = answer == null ? "a close" : answer.first();
                answered = answer != null;
            } catch (SocketTimeoutException e) {
                end = "no answer";
            } catch (IOException e) {
                end = e.toString();
            }
            int afterMs = (int) (setup.log.ms() - startMs);
            setup.log.line(id + " got " + end + " after " + afterMs + " ms");
            if (!answered || afterMs > PATIENCE_MS + GRACE_MS) {
                lost.add(id + " (" + end + " " + afterMs + " ms after its last byte)");
            }
        }
        goneAt.put(id, setup.log.ms());
    }
}
