import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Clients open WebSocket sessions with a query of percent-encoded characters. What reaches the units has to be what the
 * clients sent: the same method, path and query under the same id, and no request that no client sent.
 */
final class HiddenRequest {
    private static final String VERSION = "{\"format\":1,\"unmatched\":\"by-class\",\"routes\":[{\"name\":\"watch\","
            + "\"path\":\"/weight-read\",\"class\":\"weight-read\",\"sessions\":{\"pingS\":10}}]}";

    public static void main(String[] args) throws Exception {
        Kit.main(args, HiddenRequest::play);
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
                "{\"control\":{\"services\":[\"" + control.address() + "\"]},\"sessions\":{\"drainS\":2}}");
        Kit.Config config = new Kit.Config();
        config.port = Kit.freePort();
        config.discovery = discovery.address();
        config.deployer = platform.address();
        config.news = platform.state();
        config.known = discovery.list();
        Kit.Relay relay = setup.use(new Kit.Relay(setup, config, " --operator " + operator));
        relay.awaitReady();

        // The targets by the id of the request. None of the bytes that a client writes is outside the form of HTTP.
        Map<String, String> sent = new LinkedHashMap<>();
        if (setup.trouble) {
            sent.put("usual-1", "/weight-read/hive-7?since=2026-12-05T10:00:00%2B05:30");
            sent.put("usual-2", "/weight-read/hive-8?apiary=north%26south");
            sent.put(
                    "bad-1",
                    "/weight-read/hive-9?x=1%20HTTP/1.1%0D%0AX-Trace-Id:%20bad-1%0D%0A%0D%0A"
                            + "POST%20/harvest-log/payout-9%20HTTP/1.1%0D%0AX-Trace-Id:%20hidden-1%0D%0A"
                            + "Content-Length:%200%0D%0A%0D%0AGET%20/weight-read/hive-9");
        } else {
            sent.put("usual-1", "/weight-read/hive-7?since=2026-12-05T10:00:00");
            sent.put("usual-2", "/weight-read/hive-8?apiary=north");
            sent.put("bad-1", "/weight-read/hive-9?x=1");
        }
        for (Map.Entry<String, String> request : sent.entrySet()) {
            setup.log.line("client sends GET " + request.getValue() + " as " + request.getKey());
            try (Socket socket = Kit.connect(relay.port)) {
                socket.setSoTimeout(4_000);
                Kit.write(socket.getOutputStream(), Kit.openingRequest(request.getValue(), request.getKey()));
                Kit.Message answer = Kit.read(socket.getInputStream());
                setup.log.line("client got " + (answer == null ? "no answer" : answer.first()));
                if (answer != null && answer.status() == 101) {
                    Kit.writeFrame(socket.getOutputStream(), 1, "hello".getBytes(), true);
                    setup.log.line("session says " + Kit.readFrame(socket.getInputStream()).text());
                    Kit.writeFrame(socket.getOutputStream(), 8, new byte[] {3, (byte) 232}, true);
                }
            } catch (IOException e) {
                setup.log.line("client: " + e);
            }
            Kit.sleep(300);
        }
        int openings = 0;
        List<String> broken = new ArrayList<>();
        for (SessionUnit unit : units) {
            for (SessionUnit.Event event : unit.events) {
                boolean isRequest = event.what().equals("request");
                if (!isRequest && !event.what().equals("opening")) {
                    continue;
                }
                openings++;
                String target = isRequest ? event.target().replaceAll("^\\S+ (\\S+).*", "$1") : event.target();
                String method = isRequest ? event.target().replaceAll(" .*", "") : "GET";
                if (!sent.containsKey(event.id())) {
                    broken.add("nobody sent " + method + " " + target + " as " + event.id());
                } else if (!method.equals("GET") || !target.equals(sent.get(event.id()))) {
                    broken.add(event.id() + " reached a unit as " + method + " " + target);
                }
            }
        }
        broken.forEach(line -> setup.log.line("BROKEN: " + line));
        if (openings == 0) {
            throw new IllegalStateException("nothing reached a unit");
        }
        return broken.isEmpty();
    }
}
