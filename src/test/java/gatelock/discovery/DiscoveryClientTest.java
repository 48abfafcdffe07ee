package gatelock.discovery;

import static org.assertj.core.api.Assertions.assertThat;

import gatelock.api.Endpoint;
import gatelock.membership.EndpointSubset;
import gatelock.net.ConnectionPool;
import gatelock.net.EventLoop;
import gatelock.net.JsonObject;
import gatelock.standin.FailingDecisionEngine;
import gatelock.state.Counters;
import gatelock.state.EndpointAddresses;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/**
 * Verifies which polls the client sends, and which endpoints it reports to the decision engine, for a sequence of lists
 * served over a socket.
 */
final class DiscoveryClientTest {
    private static final String ENDPOINT_FORMAT =
            "Endpoint[name=%s, build=%d, zone=%d, kind=%d, cell=%d, health=%s, startUs=%d] at %s";
    private static final String REQUEST_FORMAT = "GET /api/targets%s HTTP/1.1|Host: discovery||";
    private static final String CACHED_LIST =
            "{\"index\":1,\"snapshot\":true,\"endpoints\":[" + entry("a", 1, "in_service", 0, 1) + "]}";

    /** The requests to discovery and the lists reported to the decision engine, in the order in which they occurred. */
    private final BlockingQueue<String> events = new LinkedBlockingQueue<>();

    private final XnioWorker worker;
    private final EventLoop eventLoop;
    private final EndpointAddresses addresses = new EndpointAddresses();
    private final Counters counters = new Counters();
    private final ServerSocket listener = new ServerSocket(0, 5, InetAddress.getLoopbackAddress());
    private Socket socket;

    DiscoveryClientTest() throws Exception {
        worker = Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1));
        eventLoop = new EventLoop(worker.getIoThread());
    }

    @AfterEach
    void stop() throws IOException {
        worker.shutdownNow();
        listener.close();
    }

    /** Records the reported lists. No other method may be called. */
    private final class RecordingEngine implements FailingDecisionEngine {
        @Override
        public void endpointsUpdated(long nowUs, EndpointUpdateType updateType, List<Endpoint> endpoints) {
            events.add(updateType + " " + endpoints.stream().map(this::describe).toList());
        }

        private String describe(Endpoint endpoint) {
            EndpointAddresses.Entry addressEntry = addresses.get(endpoint.name());
            String port =
                    addressEntry == null ? "none" : "" + addressEntry.address().getPort();
            return String.format(
                    ENDPOINT_FORMAT,
                    endpoint.name(),
                    endpoint.build(),
                    endpoint.zone(),
                    endpoint.instanceType(),
                    endpoint.cell(),
                    endpoint.health(),
                    endpoint.startedAtUs(),
                    port);
        }
    }

    private static String entry(String name, int port, String status, long sinceMs, int build) {
        return "{\"name\":\"" + name + "\",\"address\":\"127.0.0.1:" + port
                + "\",\"zone\":\"west\",\"type\":\"m\",\"group\":3," + "\"status\":\"" + status
                + "\",\"weight\":1.0,\"since_ms\":" + sinceMs + ",\"image_id\":" + build + "}";
    }

    private static String list(int index, boolean full, String... entries) {
        return "{\"index\":" + index + ",\"snapshot\":" + full + ",\"endpoints\":[" + String.join(",", entries) + "]}";
    }

    private void start(DiscoveryClient.SubsetOptions subsetOptions) {
        InetSocketAddress discoveryAddress =
                new InetSocketAddress(InetAddress.getLoopbackAddress(), listener.getLocalPort());
        eventLoop.execute(() -> {
            ConnectionPool discoveryPool =
                    new ConnectionPool(eventLoop, counters, 1_000_000, 4_000_000, 0, 8, DiscoveryClient.MAX_LIST_BYTES);
            ConnectionPool endpointPool = new ConnectionPool(eventLoop, counters, 1_000_000, 4_000_000, 0, 8);
            try {
                new DiscoveryClient(
                                eventLoop,
                                counters,
                                discoveryPool,
                                discoveryAddress,
                                addresses,
                                endpointPool,
                                List.of("east", "west"),
                                List.of("s", "m"),
                                false,
                                new SplittableRandom(1),
                                subsetOptions)
                        .start(
                                new RecordingEngine(),
                                null,
                                JsonObject.parse(CACHED_LIST.getBytes(StandardCharsets.UTF_8)));
            } catch (IOException e) {
                throw new AssertionError(e);
            }
        });
    }

    /** Reads one request, on a new connection if the previous one has ended. */
    private String nextRequest() throws IOException {
        for (; ; ) {
            if (socket == null) {
                socket = listener.accept();
                socket.setSoTimeout(20_000);
            }
            InputStream in = socket.getInputStream();
            StringBuilder request = new StringBuilder();
            int b = in.read();
            while (b >= 0) {
                request.append((char) b);
                if (request.toString().endsWith("\r\n\r\n")) {
                    return request.toString();
                }
                b = in.read();
            }
            socket = null;
        }
    }

    private void write(String status, String body) throws IOException {
        socket.getOutputStream()
                .write(("HTTP/1.1 " + status + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body)
                        .getBytes(StandardCharsets.US_ASCII));
    }

    private void recordNextRequest() throws IOException {
        events.add(nextRequest().replace("\r\n", "|"));
    }

    /**
     * Records the next request and responds to it. By the time of the following request, the effects of the response
     * have been recorded.
     */
    private void respond(String body) throws IOException {
        recordNextRequest();
        write("200 OK", body);
    }

    private void serveLists() throws Exception {
        respond(list(
                5,
                true,
                entry("a", 11, "in_service", 7, 1),
                entry("b", 12, "in_service", 0, 1),
                entry("c", 13, "terminating", 0, 2)));
        respond(list(6, false, entry("b", 12, "terminating", 0, 1)));
        respond(list(6, false));
        respond(list(
                7,
                false,
                entry("b", 12, "terminated", 0, 1),
                entry("d", 14, "in_service", 0, 2),
                entry("a", 11, "in_service", 9, 2)));
        // Malformed lists: each one changes nothing, and the client polls again with the same index.
        respond(list(
                8,
                false,
                entry("e", 15, "in_service", 0, 1),
                entry("f", 16, "in_service", 0, 1).replace("in_service", "zz")));
        respond(list(8, false, entry("e", 15, "in_service", -1, 1)));
        respond(list(8, true, entry("e", 15, "in_service", 0, 1)) + "x");
        respond(list(8, true, entry("e", 15, "in_service", 0, 1), entry("e", 15, "in_service", 0, 1)));
        respond(list(8, true, entry("e", 15, "in_service", 0, 1).replace("127.0.0.1:15", "nowhere")));
        recordNextRequest();
        write("500 Oops", "{}");
        respond(list(9, true, entry("d", 17, "in_service", 0, 2), entry("g", 18, "in_service", 0, 3)));
        // A lower index means that discovery has been restarted.
        respond(list(2, true, entry("g", 18, "in_service", 0, 3)));
        respond(list(3, false, entry("g", 19, "in_service", 0, 3)));
        recordNextRequest();
    }

    private List<String> requests() {
        return events.stream().filter(DiscoveryClientTest::isRequest).toList();
    }

    private static String endpoint(String name, int build, String health, long startUs, String port) {
        return String.format(ENDPOINT_FORMAT, name, build, 1, 1, 3, health, startUs, port);
    }

    private static String watch(int index) {
        return String.format(REQUEST_FORMAT, "?from=" + index + "&hold_ms=2000");
    }

    @Test
    void appliesListsAndPollsAgainWithoutSubset() throws Exception {
        start(null);
        serveLists();
        List<String> expected = new ArrayList<>();
        expected.add("CACHED [" + endpoint("a", 1, "READY", 0, "1") + "]");
        expected.add(String.format(REQUEST_FORMAT, ""));
        expected.add("FULL ["
                + String.join(
                        ", ",
                        endpoint("a", 1, "READY", 7000, "11"),
                        endpoint("b", 1, "READY", 0, "12"),
                        endpoint("c", 2, "DRAINING", 0, "13"))
                + "]");
        expected.add(watch(5));
        expected.add("DELTA [" + endpoint("b", 1, "DRAINING", 0, "12") + "]");
        expected.add(watch(6));
        expected.add(watch(6));
        expected.add("DELTA ["
                + String.join(
                        ", ",
                        endpoint("b", 1, "GONE", 0, "none"),
                        endpoint("d", 2, "READY", 0, "14"),
                        endpoint("a", 2, "READY", 9000, "11"))
                + "]");
        for (int i = 0; i < 7; i++) {
            expected.add(watch(7));
        }
        expected.add("FULL ["
                + String.join(", ", endpoint("d", 2, "READY", 0, "17"), endpoint("g", 3, "READY", 0, "18"))
                + "]");
        expected.add(watch(9));
        expected.add("FULL [" + endpoint("g", 3, "READY", 0, "18") + "]");
        expected.add(watch(2));
        expected.add("DELTA [" + endpoint("g", 3, "READY", 0, "19") + "]");
        expected.add(watch(3));
        assertThat(events).containsExactlyElementsOf(expected);
        assertThat(counters.toString()).contains("discovery failed=6").doesNotContain("lists too long");
    }

    @Test
    void behavesAsWithoutSubsetWhenSubsetHoldsAllEndpoints() throws Exception {
        start(new DiscoveryClient.SubsetOptions(
                new EndpointSubset(new EndpointSubset.Policy(1, -1, 100, 100, 0, 0, 0)),
                ServiceNameExtractor.SINGLE_SERVICE,
                1 << 20));
        serveLists();
        DiscoveryClientTest withoutSubset = new DiscoveryClientTest();
        try {
            withoutSubset.start(null);
            withoutSubset.serveLists();
        } finally {
            withoutSubset.stop();
        }
        assertThat(requests()).isEqualTo(withoutSubset.requests());
        assertThat(sortedLists()).isEqualTo(withoutSubset.sortedLists());
    }

    private static boolean isRequest(String event) {
        return event.startsWith("GET");
    }

    private List<String> sortedLists() {
        return events.stream()
                .filter(event -> !isRequest(event))
                .map(DiscoveryClientTest::sorted)
                .toList();
    }

    /** Sorts the endpoints of one event by name, as their order differs between a list and a subset. */
    private static String sorted(String event) {
        // A subset never includes an endpoint that is already draining when it is first listed, as it would not be
        // used.
        String[] parts = event.replaceAll("(, )?Endpoint\\[name=c,[^\\]]*\\] at 13", "")
                .replaceAll("[\\[\\]]+$", "")
                .split("Endpoint\\[");
        Arrays.sort(parts, 1, parts.length, Comparator.naturalOrder());
        return String.join(" ", parts)
                .replace(", ", " ")
                .replaceAll("\\s+", " ")
                .strip();
    }

    @Test
    void readsSlowListAndPollsAgainAfterStalledList() throws Exception {
        start(new DiscoveryClient.SubsetOptions(
                new EndpointSubset(new EndpointSubset.Policy(1, -1, 100, 100, 0, 0, 0)),
                ServiceNameExtractor.SINGLE_SERVICE,
                1 << 20));
        nextRequest();
        String body = list(5, true, entry("a", 11, "in_service", 7, 1), entry("b", 12, "in_service", 0, 1));
        socket.getOutputStream()
                .write(("HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n")
                        .getBytes(StandardCharsets.US_ASCII));
        // The transfer takes longer than the timeout of a buffered response. The parts are sent by timers of the event
        // loop under test, so that a slow machine delays both sides equally.
        for (int i = 0; i < 10; i++) {
            String part = body.substring(body.length() * i / 10, body.length() * (i + 1) / 10);
            eventLoop.schedule(200_000L * (i + 1), () -> {
                try {
                    socket.getOutputStream().write(part.getBytes(StandardCharsets.US_ASCII));
                } catch (IOException e) {
                    throw new AssertionError(e);
                }
            });
        }
        assertThat(nextRequest()).startsWith("GET /api/targets?from=5&");
        socket.getOutputStream()
                .write("HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n{\"index\":6,"
                        .getBytes(StandardCharsets.US_ASCII));
        assertThat(nextRequest()).startsWith("GET /api/targets?from=5&");
        assertThat(events).hasSize(2);
        assertThat(counters.toString()).contains("discovery failed=1");
    }
}
