package gatelock.discovery;

import static org.assertj.core.api.Assertions.assertThat;

import gatelock.api.DecisionEngine;
import gatelock.api.Endpoint;
import gatelock.api.RequestConstraints;
import gatelock.api.RequestHandle;
import gatelock.membership.EndpointSubset;
import gatelock.net.ConnectionPool;
import gatelock.net.EventLoop;
import gatelock.net.JsonObject;
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

/** A course of lists over a socket, and all that the decisions hear of it. */
final class DiscoveryClientTest {
    private static final String KNOWN =
            "{\"index\":1,\"snapshot\":true,\"endpoints\":[" + entry("a", 1, "in_service", 0, 1) + "]}";

    /** What was asked, and what the decisions were told, in the order in which it was. */
    private final BlockingQueue<String> course = new LinkedBlockingQueue<>();

    private final XnioWorker worker;
    private final EventLoop turn;
    private final EndpointAddresses addresses = new EndpointAddresses();
    private final Counters counters = new Counters();
    private final ServerSocket listener = new ServerSocket(0, 5, InetAddress.getLoopbackAddress());
    private Socket socket;

    DiscoveryClientTest() throws Exception {
        worker = Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1));
        turn = new EventLoop(worker.getIoThread());
    }

    @AfterEach
    void stop() throws IOException {
        worker.shutdownNow();
        listener.close();
    }

    /** Notes the lists; nothing else is told in this course. */
    private final class Noting implements DecisionEngine {
        @Override
        public void listed(long nowUs, ListForm form, List<Endpoint> endpoints) {
            course.add(form + " "
                    + endpoints.stream()
                            .map(u -> u + " at "
                                    + (addresses.get(u.endpoint()) == null
                                            ? "none"
                                            : addresses
                                                    .get(u.endpoint())
                                                    .address()
                                                    .getPort()))
                            .toList());
        }

        @Override
        public void start(long nowUs) {
            throw new AssertionError();
        }

        @Override
        public RequestHandle take(
                long nowUs,
                String id,
                int route,
                int tenant,
                long key,
                long leftUs,
                long costUs,
                RequestConstraints bounds) {
            throw new AssertionError();
        }

        @Override
        public void news(long nowUs, int build, int stage, Phase phase, double cap, long agoUs, VoteAnswer answer) {
            throw new AssertionError();
        }

        @Override
        public void complaint(long nowUs, String endpoint, int route, long agoUs) {
            throw new AssertionError();
        }

        @Override
        public void counted(long nowUs, int build, int route, int count, int failed, long meanUs, long agoUs) {
            throw new AssertionError();
        }

        @Override
        public void due(long nowUs, long token) {
            throw new AssertionError();
        }
    }

    private static String entry(String name, int port, String status, long sinceMs, int build) {
        return "{\"name\":\"" + name + "\",\"address\":\"127.0.0.1:" + port
                + "\",\"zone\":\"west\",\"type\":\"m\",\"group\":3," + "\"status\":\"" + status
                + "\",\"weight\":1.0,\"since_ms\":" + sinceMs + ",\"image_id\":" + build + "}";
    }

    private static String list(int index, boolean whole, String... entries) {
        return "{\"index\":" + index + ",\"snapshot\":" + whole + ",\"endpoints\":[" + String.join(",", entries) + "]}";
    }

    private void start(DiscoveryClient.Membership membership) {
        InetSocketAddress at = new InetSocketAddress(InetAddress.getLoopbackAddress(), listener.getLocalPort());
        turn.soon(() -> {
            ConnectionPool platform =
                    new ConnectionPool(turn, counters, 1_000_000, 4_000_000, 0, 8, DiscoveryClient.MOST_LIST);
            ConnectionPool endpoints = new ConnectionPool(turn, counters, 1_000_000, 4_000_000, 0, 8);
            try {
                new DiscoveryClient(
                                turn,
                                counters,
                                platform,
                                at,
                                addresses,
                                endpoints,
                                List.of("east", "west"),
                                List.of("s", "m"),
                                false,
                                new SplittableRandom(1),
                                membership)
                        .start(new Noting(), null, JsonObject.read(KNOWN.getBytes(StandardCharsets.UTF_8)));
            } catch (IOException e) {
                throw new AssertionError(e);
            }
        });
    }

    /** Reads one call, from a new connection where the last one has ended. */
    private String asked() throws IOException {
        for (; ; ) {
            if (socket == null) {
                socket = listener.accept();
                socket.setSoTimeout(20_000);
            }
            InputStream in = socket.getInputStream();
            StringBuilder call = new StringBuilder();
            int b = in.read();
            while (b >= 0) {
                call.append((char) b);
                if (call.toString().endsWith("\r\n\r\n")) {
                    return call.toString();
                }
                b = in.read();
            }
            socket = null;
        }
    }

    private void answer(String status, String body) throws IOException {
        socket.getOutputStream()
                .write(("HTTP/1.1 " + status + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body)
                        .getBytes(StandardCharsets.US_ASCII));
    }

    /** Answers the next call and notes it; what it led to is told by the time of the one after. */
    private void turn(String body) throws IOException {
        String call = asked();
        course.add(call.replace("\r\n", "|"));
        answer("200 OK", body);
    }

    private void play() throws Exception {
        turn(list(
                5,
                true,
                entry("a", 11, "in_service", 7, 1),
                entry("b", 12, "in_service", 0, 1),
                entry("c", 13, "terminating", 0, 2)));
        turn(list(6, false, entry("b", 12, "terminating", 0, 1)));
        turn(list(6, false));
        turn(list(
                7,
                false,
                entry("b", 12, "terminated", 0, 1),
                entry("d", 14, "in_service", 0, 2),
                entry("a", 11, "in_service", 9, 2)));
        // bad ones: each changes nothing and is asked for again
        turn(list(
                8,
                false,
                entry("e", 15, "in_service", 0, 1),
                entry("f", 16, "in_service", 0, 1).replace("in_service", "zz")));
        turn(list(8, false, entry("e", 15, "in_service", -1, 1)));
        turn(list(8, true, entry("e", 15, "in_service", 0, 1)) + "x");
        turn(list(8, true, entry("e", 15, "in_service", 0, 1), entry("e", 15, "in_service", 0, 1)));
        turn(list(8, true, entry("e", 15, "in_service", 0, 1).replace("127.0.0.1:15", "nowhere")));
        String call = asked();
        course.add(call.replace("\r\n", "|"));
        answer("500 Oops", "{}");
        turn(list(9, true, entry("d", 17, "in_service", 0, 2), entry("g", 18, "in_service", 0, 3)));
        // an index that goes back is a discovery that began anew
        turn(list(2, true, entry("g", 18, "in_service", 0, 3)));
        turn(list(3, false, entry("g", 19, "in_service", 0, 3)));
        course.add(asked().replace("\r\n", "|"));
    }

    private List<String> taken(String what) {
        return course.stream().filter(c -> c.startsWith(what)).toList();
    }

    @Test
    void withoutAScopeTheDecisionsHearAndDiscoveryIsAskedWhatTheyAlwaysWere() throws Exception {
        start(null);
        play();
        String call = "GET /api/targets%s HTTP/1.1|Host: discovery||";
        String from = "?from=%d&hold_ms=2000";
        String endpoint = "Listed[unit=%s, build=%d, zone=1, kind=1, cell=3, health=%s, startUs=%d] at %s";
        List<String> expected = new ArrayList<>();
        expected.add("CACHED [" + String.format(endpoint, "a", 1, "READY", 0, "1") + "]");
        expected.add(String.format(call, ""));
        expected.add("FULL ["
                + String.join(
                        ", ",
                        String.format(endpoint, "a", 1, "READY", 7000, "11"),
                        String.format(endpoint, "b", 1, "READY", 0, "12"),
                        String.format(endpoint, "c", 2, "DRAINING", 0, "13"))
                + "]");
        expected.add(String.format(call, String.format(from, 5)));
        expected.add("DELTA [" + String.format(endpoint, "b", 1, "DRAINING", 0, "12") + "]");
        expected.add(String.format(call, String.format(from, 6)));
        expected.add(String.format(call, String.format(from, 6)));
        expected.add("DELTA ["
                + String.join(
                        ", ",
                        String.format(endpoint, "b", 1, "GONE", 0, "none"),
                        String.format(endpoint, "d", 2, "READY", 0, "14"),
                        String.format(endpoint, "a", 2, "READY", 9000, "11"))
                + "]");
        for (int i = 0; i < 7; i++) {
            expected.add(String.format(call, String.format(from, 7)));
        }
        expected.add("FULL ["
                + String.join(
                        ", ",
                        String.format(endpoint, "d", 2, "READY", 0, "17"),
                        String.format(endpoint, "g", 3, "READY", 0, "18"))
                + "]");
        expected.add(String.format(call, String.format(from, 9)));
        expected.add("FULL [" + String.format(endpoint, "g", 3, "READY", 0, "18") + "]");
        expected.add(String.format(call, String.format(from, 2)));
        expected.add("DELTA [" + String.format(endpoint, "g", 3, "READY", 0, "19") + "]");
        expected.add(String.format(call, String.format(from, 3)));
        assertThat(course).containsExactlyElementsOf(expected);
        assertThat(counters.toString()).contains("discovery failed=6").doesNotContain("lists too long");
    }

    @Test
    void aScopeThatHoldsAllTellsTheSameAndAsksTheSame() throws Exception {
        start(new DiscoveryClient.Membership(
                new EndpointSubset(new EndpointSubset.Terms(1, -1, 100, 100, 0, 0, 0)),
                ServiceNameExtractor.ONE,
                1 << 20));
        play();
        List<String> calls = taken("GET");
        List<String> told = course.stream()
                .filter(c -> !c.startsWith("GET"))
                .map(DiscoveryClientTest::inOrder)
                .toList();
        DiscoveryClientTest without = new DiscoveryClientTest();
        try {
            without.start(null);
            without.play();
        } finally {
            without.stop();
        }
        assertThat(calls).isEqualTo(without.taken("GET"));
        assertThat(told)
                .isEqualTo(without.course.stream()
                        .filter(c -> !c.startsWith("GET"))
                        .map(DiscoveryClientTest::inOrder)
                        .toList());
    }

    /** The endpoints of one telling by name, as a list and a scope may have an order of their own. */
    private static String inOrder(String told) {
        // One that drains when it is first listed never comes into scope: there is nothing for it to do.
        String[] parts = told.replaceAll("(, )?Listed\\[unit=c,[^\\]]*\\] at 13", "")
                .replaceAll("[\\[\\]]+$", "")
                .split("Listed\\[");
        Arrays.sort(parts, 1, parts.length, Comparator.naturalOrder());
        return String.join(" ", parts)
                .replace(", ", " ")
                .replaceAll("\\s+", " ")
                .strip();
    }

    @Test
    void aListThatTricklesInIsReadAndOneThatStopsIsAskedForAgain() throws Exception {
        start(new DiscoveryClient.Membership(
                new EndpointSubset(new EndpointSubset.Terms(1, -1, 100, 100, 0, 0, 0)),
                ServiceNameExtractor.ONE,
                1 << 20));
        asked();
        String body = list(5, true, entry("a", 11, "in_service", 7, 1), entry("b", 12, "in_service", 0, 1));
        socket.getOutputStream()
                .write(("HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n")
                        .getBytes(StandardCharsets.US_ASCII));
        // Longer in all than an answer that is held whole may take; by the relay's own timers, so that a machine that
        // is late makes both late.
        for (int i = 0; i < 10; i++) {
            String piece = body.substring(body.length() * i / 10, body.length() * (i + 1) / 10);
            turn.in(200_000 * (i + 1), () -> {
                try {
                    socket.getOutputStream().write(piece.getBytes(StandardCharsets.US_ASCII));
                } catch (IOException e) {
                    throw new AssertionError(e);
                }
            });
        }
        assertThat(asked()).startsWith("GET /api/targets?from=5&");
        socket.getOutputStream()
                .write(("HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n{\"index\":6,")
                        .getBytes(StandardCharsets.US_ASCII));
        assertThat(asked()).startsWith("GET /api/targets?from=5&");
        assertThat(course).hasSize(2);
        assertThat(counters.toString()).contains("discovery failed=1");
    }
}
