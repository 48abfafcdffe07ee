import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Planned restart of a relay while clients open WebSocket sessions. Each session that was opened has to end with one
 * closing answer before the earliest SIGKILL. A unit takes 120 ms for an opening, which is the work of a weight-read.
 */
final class SessionShutdown {
    private static final int CLIENTS = 16;
    private static final int OPENING_MS = 120;
    private static final int PACE_MS = 40;
    /** SIGTERM comes when this many clients have asked for a session. */
    private static final int CLIENTS_BEFORE_SIGTERM = 10;
    /** The longest deadline, counted as 3 s where it is longer, plus 0.7 s; and some slack for this test. */
    private static final int SIGKILL_MS = 3_700 + 300;

    private static final String VERSION = "{\"format\":1,\"unmatched\":\"by-class\",\"routes\":[{\"name\":\"watch\","
            + "\"path\":\"/weight-read\",\"class\":\"weight-read\",\"sessions\":{\"pingS\":10}}]}";

    /** One client: opens a session and waits for its end. */
    private static final class Client {
        final String id;
        volatile int status;
        volatile int closes;
        volatile boolean over;

        Client(String id) {
            this.id = id;
        }

        void play(Kit.Setup setup, int port) throws Exception {
            try (Socket socket = Kit.connect(port)) {
                setup.log.line("client " + id + ": asks for a session");
                Kit.write(socket.getOutputStream(), Kit.openingRequest("/weight-read/hive-" + id, id));
                Kit.Message answer = Kit.read(socket.getInputStream());
                if (answer == null) {
                    setup.log.line("client " + id + ": connection ended without an answer");
                    return;
                }
                status = answer.status();
                setup.log.line("client " + id + ": answer " + answer.first());
                while (status == 101) {
                    Kit.Frame frame = Kit.readFrame(socket.getInputStream());
                    if (frame.opcode() == 8) {
                        closes++;
                        setup.log.line("client " + id + ": close " + frame.code());
                        Kit.writeFrame(socket.getOutputStream(), 8, frame.body(), true);
                    } else if (frame.opcode() == 9) {
                        Kit.writeFrame(socket.getOutputStream(), 10, frame.body(), true);
                    } else if (frame.opcode() < 0) {
                        setup.log.line("client " + id + ": connection ended, closes " + closes);
                        return;
                    }
                }
            } catch (IOException e) {
                setup.log.line("client " + id + ": " + e + ", closes " + closes);
            } finally {
                over = true;
            }
        }
    }

    public static void main(String[] args) throws Exception {
        Kit.main(args, SessionShutdown::play);
    }

    private static boolean play(Kit.Setup setup) throws Exception {
        Kit.Platform platform = setup.use(new Kit.Platform(setup.log, 1, 0, "released", 1.0, 60_000));
        Kit.Discovery discovery = setup.use(new Kit.Discovery(setup.log));
        List<SessionUnit> units = new ArrayList<>();
        for (String name : Kit.names(9, "s-")) {
            SessionUnit unit = setup.use(new SessionUnit(name, setup.log, 512));
            unit.openingMs = OPENING_MS;
            unit.start();
            units.add(unit);
            discovery.put(name, unit.address(), "in_service", 1, 0);
        }
        Kit.Control control = setup.use(new Kit.Control(setup.log, 1, VERSION));
        Path operator = setup.temp.resolve("operator.json");
        Files.writeString(
                operator,
                "{\"control\":{\"services\":[\"" + control.address() + "\"]},\"sessions\":{\"drainS\":2}}");
        Kit.Config config = new Kit.Config();
        config.port = Kit.freePort();
        config.discovery = discovery.address();
        config.deployer = platform.address();
        config.news = platform.state();
        config.known = discovery.list();
        Kit.Relay relay = setup.use(new Kit.Relay(setup, config, " --operator " + operator));
        relay.awaitReady();

        List<Client> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            if (i == CLIENTS_BEFORE_SIGTERM && setup.trouble) {
                relay.signal("TERM");
            }
            Client client = new Client("c" + i);
            clients.add(client);
            Kit.daemon(client.id, () -> client.play(setup, relay.port));
            Kit.sleep(PACE_MS);
        }
        if (setup.trouble) {
            long leftMs = SIGKILL_MS - (CLIENTS - CLIENTS_BEFORE_SIGTERM) * PACE_MS;
            boolean ended = relay.process.waitFor(leftMs, TimeUnit.MILLISECONDS);
            setup.log.line(ended ? "the relay has ended" : "the relay still runs at the time of SIGKILL");
        } else {
            // Without the restart the unit ends the sessions, as any unit may.
            Kit.sleep(1_000);
            for (SessionUnit unit : units) {
                for (Socket socket : unit.sockets) {
                    try {
                        Kit.writeFrame(socket.getOutputStream(), 8, new byte[] {3, (byte) 232}, false);
                    } catch (IOException e) {
                        setup.log.line("unit " + unit.name + ": " + e);
                    }
                }
            }
            Kit.sleep(1_500);
        }
        int opened = 0;
        List<String> broken = new ArrayList<>();
        for (Client client : clients) {
            if (client.status == 101) {
                opened++;
                if (client.closes != 1) {
                    broken.add(client.id + " (" + client.closes + " closes)");
                }
            }
        }
        setup.log.line("sessions opened " + opened);
        broken.forEach(line -> setup.log.line("BROKEN: session of " + line + " at the time of SIGKILL"));
        if (opened == 0) {
            throw new IllegalStateException("no session was opened");
        }
        return broken.isEmpty();
    }
}
