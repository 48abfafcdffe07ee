import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * The control service sends a good version, then a broken one, with traffic flowing. Each request has to get its final
 * answer in time, and the last good version has to stay in service.
 */
final class BrokenVersion {
    /** Just under the size that the relay accepts with the heap of the deploy file; it prints that size at its start. */
    private static final int VERSION_BYTES = 1_400_000;
    private static final int PACE_MS = 50;
    private static final int CLIENTS = 300;
    private static final int VERSION_AFTER = 40;
    private static final int PATIENCE_MS = 1_000;
    private static final int GRACE_MS = 550;

    public static void main(String[] args) throws Exception {
        Kit.main(args, BrokenVersion::play);
    }

    private static String version(boolean broken, int bytes) {
        StringBuilder text = new StringBuilder("{\"format\":1,\"unmatched\":\"by-class\",\"routes\":[{\"name\":\"r\","
                + "\"path\":\"/weight-read\",\"class\":\"weight-read\"}");
        for (int i = 0; text.length() < bytes; i++) {
            // In the broken version the name of each further route is a number, not a text.
            text.append(
                    broken
                            ? ",{\"name\":" + i % 10 + "}"
                            : ",{\"name\":\"r" + i + "\",\"path\":\"/reading-post/" + i + "\",\"class\":\"reading-post\"}");
        }
        return text.append("]}").toString();
    }

    private static boolean play(Kit.Setup setup) throws Exception {
        Kit.Platform platform = setup.use(new Kit.Platform(setup.log, 1, 0, "released", 1.0, 60_000));
        Kit.Discovery discovery = setup.use(new Kit.Discovery(setup.log));
        for (String name : Kit.names(9, "s-")) {
            SessionUnit unit = setup.use(new SessionUnit(name, setup.log, 512));
            unit.start();
            discovery.put(name, unit.address(), "in_service", 1, 0);
        }
        Kit.Control control = setup.use(new Kit.Control(setup.log, 1, version(false, 0)));
        Path operator = setup.temp.resolve("operator.json");
        Files.writeString(operator, "{\"control\":{\"services\":[\"" + control.address() + "\"]}}");
        Kit.Config config = new Kit.Config();
        config.port = Kit.freePort();
        config.discovery = discovery.address();
        config.deployer = platform.address();
        config.news = platform.state();
        config.known = discovery.list();
        Kit.Relay relay = setup.use(new Kit.Relay(setup, config, " --operator " + operator));
        relay.awaitReady();

        List<String> lost = new CopyOnWriteArrayList<>();
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            if (i == VERSION_AFTER) {
                String next = version(setup.trouble, VERSION_BYTES);
                setup.log.line("a " + (setup.trouble ? "broken" : "good") + " version of " + next.length() + " bytes");
                control.publish(2, next);
            }
            String id = "usual-" + i;
            clients.add(Kit.daemon(id, () -> askOnce(setup, relay.port, id, lost)));
            Kit.sleep(PACE_MS);
        }
        for (Thread client : clients) {
            client.join(10_000);
        }
        setup.log.line("held " + control.acknowledged + ", turned down " + control.turnedDown + ", relay "
                + (relay.process.isAlive() ? "runs" : "has ended"));
        setup.log.line("OutOfMemoryError in the relay's output: "
                + (relay.output().split("OutOfMemoryError", -1).length - 1) + " times");
        lost.forEach(line -> setup.log.line("BROKEN: " + line));
        if (!setup.trouble && control.acknowledged < 2) {
            throw new IllegalStateException("the good version was not taken");
        }
        return lost.isEmpty() && relay.process.isAlive();
    }

    /** A client that connects, asks once and leaves when it has its answer, or when it is lost anyway. */
    private static void askOnce(Kit.Setup setup, int port, String id, List<String> lost) throws IOException {
        String end;
        boolean answered = false;
        double startMs;
        try (Socket socket = Kit.connect(port)) {
            socket.setSoTimeout(PATIENCE_MS + GRACE_MS);
            Kit.write(
                    socket.getOutputStream(),
                    "GET /weight-read/" + id + " HTTP/1.1\r\nHost: api.internal\r\nX-Trace-Id: " + id
                            + "\r\nX-Customer: matale-do\r\nX-Expires-In-Ms: " + PATIENCE_MS + "\r\n\r\n");
            startMs = setup.log.ms();
            try {
                Kit.Message answer = Kit.read(socket.getInputStream());
                end = answer == null ? "a close" : answer.first();
                answered = answer != null;
            } catch (SocketTimeoutException e) {
                end = "no answer";
            } catch (IOException e) {
                end = e.toString();
            }
        }
        int afterMs = (int) (setup.log.ms() - startMs);
        setup.log.line(id + " got " + end + " after " + afterMs + " ms");
        if (!answered || afterMs > PATIENCE_MS + GRACE_MS) {
            lost.add(id + " (" + end + " " + afterMs + " ms after its last byte)");
        }
    }
}
