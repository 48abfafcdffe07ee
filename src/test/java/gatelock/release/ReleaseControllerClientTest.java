package gatelock.release;

import static org.assertj.core.api.Assertions.assertThat;

import gatelock.api.Verdict;
import gatelock.net.ConnectionPool;
import gatelock.net.EventLoop;
import gatelock.net.JsonObject;
import gatelock.standin.FailingDecisionEngine;
import gatelock.state.Counters;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/**
 * Verifies what the client reports to the decision engine about votes and release updates that are exchanged over
 * sockets.
 */
final class ReleaseControllerClientTest {
    private static final long VOTE_TIMEOUT_US = 300_000;
    private static final String STREAM_HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

    private final XnioWorker worker;
    private final EventLoop eventLoop;
    private final Counters counters = new Counters();
    private final ServerSocket server = new ServerSocket(0, 5, InetAddress.getLoopbackAddress());
    private final BlockingQueue<String> updates = new LinkedBlockingQueue<>();
    private final ReleaseControllerClient client;
    private Socket stream;

    ReleaseControllerClientTest() throws Exception {
        worker = Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1));
        eventLoop = new EventLoop(worker.getIoThread());
        client = new ReleaseControllerClient(
                eventLoop,
                counters,
                new ConnectionPool(eventLoop, counters, 1_000_000, 4_000_000, 0, 8),
                new InetSocketAddress(InetAddress.getLoopbackAddress(), server.getLocalPort()),
                VOTE_TIMEOUT_US);
    }

    /** Records the reported updates. No other method may be called. */
    private final class RecordingEngine implements FailingDecisionEngine {
        @Override
        public void releaseStateUpdated(
                long nowUs,
                int build,
                int stage,
                ReleasePhase phase,
                double cap,
                long ageUs,
                VoteResponse voteResponse) {
            updates.add(build + " " + stage + " " + phase + " " + cap + " " + ageUs + " " + voteResponse);
        }
    }

    private static String message(String mode, int build) {
        return "{\"mode\":\"" + mode + "\",\"release\":" + build + ",\"tranche\":2,\"exposure\":0.25,\"old_ms\":3}";
    }

    private static String line(String mode, int build) {
        return "{\"type\":\"news\",\"object\":" + message(mode, build) + "}\n";
    }

    @BeforeEach
    void start() throws Exception {
        eventLoop.execute(() -> {
            try {
                client.start(
                        new RecordingEngine(),
                        JsonObject.parse(message("released", 1).getBytes(StandardCharsets.UTF_8)));
            } catch (IOException e) {
                throw new AssertionError(e);
            }
        });
        assertThat(nextUpdate()).isEqualTo("1 2 RELEASED 0.25 3000 NOT_ASKED");
        stream = acceptStream();
    }

    @AfterEach
    void stop() throws IOException {
        worker.shutdownNow();
        stream.close();
        server.close();
    }

    private String nextUpdate() throws InterruptedException {
        return updates.poll(20, TimeUnit.SECONDS);
    }

    private Socket acceptStream() throws IOException {
        server.setSoTimeout(20_000);
        Socket accepted = server.accept();
        accepted.setSoTimeout(20_000);
        assertThat(readUntil(accepted, "\r\n\r\n"))
                .isEqualTo("GET /v2/projects/main/changes HTTP/1.1\r\nHost: desk\r\n\r\n");
        write(accepted, STREAM_HEAD);
        return accepted;
    }

    private static String readUntil(Socket socket, String end) throws IOException {
        InputStream in = socket.getInputStream();
        StringBuilder text = new StringBuilder();
        while (!text.toString().endsWith(end)) {
            int b = in.read();
            if (b < 0) {
                return text.toString();
            }
            text.append((char) b);
        }
        return text.toString();
    }

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    /** Waits for the end of a connection. It is a reset if the client has not read all of the data. */
    private static void assertEnded(Socket socket) throws IOException {
        try {
            assertThat(socket.getInputStream().read()).isEqualTo(-1);
        } catch (SocketException e) {
            assertThat(e).hasMessageContaining("reset");
        }
    }

    private static void push(Socket socket, String text) throws IOException {
        write(socket, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
    }

    @ParameterizedTest
    @CsvSource({
        "200, 7 2 TRIAL 0.25 3000 COUNTED",
        "429, 0 0 TRIAL 0.0 0 BUSY",
        "409, 0 0 TRIAL 0.0 0 MOOT",
        "400, 0 0 TRIAL 0.0 0 ERROR",
        "500, 0 0 TRIAL 0.0 0 ERROR",
        "302, 0 0 TRIAL 0.0 0 TIMED_OUT"
    })
    void reportsVoteResultByResponseStatus(int status, String expected) throws Exception {
        eventLoop.execute(() -> client.castVote(7, 2, Verdict.HOLD));
        try (Socket vote = server.accept()) {
            assertThat(readUntil(vote, "}"))
                    .startsWith("POST /v2/projects/main/judgements HTTP/1.1\r\nHost: desk\r\n")
                    .endsWith("\r\n\r\n{\"release\":7,\"tranche\":2,\"ruling\":\"hold\"}");
            String body = message("trial", 7);
            write(vote, "HTTP/1.1 " + status + " X\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
            assertThat(nextUpdate()).isEqualTo(expected);
        }
    }

    @Test
    void reportsVoteAsTimedOutWhenResponseIsMissingOrMalformed() throws Exception {
        for (String response : new String[] {
            "", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n[]", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
        }) {
            eventLoop.execute(() -> client.castVote(7, 2, Verdict.HOLD));
            try (Socket vote = server.accept()) {
                readUntil(vote, "}");
                write(vote, response);
                assertThat(nextUpdate()).as(response).isEqualTo("0 0 TRIAL 0.0 0 TIMED_OUT");
            }
        }
    }

    @Test
    void readsUpdatesAndHeartbeatsThatArriveInParts() throws Exception {
        String text = "{\"type\":\"beat\"}\n" + line("trial", 8) + line("rolling_back", 8) + line("withdrawn", 8);
        for (int from = 0; from < text.length(); from += 7) {
            push(stream, text.substring(from, Math.min(text.length(), from + 7)));
        }
        assertThat(nextUpdate()).isEqualTo("8 2 TRIAL 0.25 3000 NOT_ASKED");
        assertThat(nextUpdate()).isEqualTo("8 2 REVERTING 0.25 3000 NOT_ASKED");
        assertThat(nextUpdate()).isEqualTo("8 2 WITHDRAWN 0.25 3000 NOT_ASKED");
        assertThat(updates).isEmpty();
    }

    @Test
    void replacesStreamAfterMalformedLineWithoutApplyingIt() throws Exception {
        push(stream, line("unknown", 8) + line("trial", 8));
        try (Socket replacement = acceptStream()) {
            push(replacement, line("trial", 9));
            assertThat(nextUpdate()).isEqualTo("9 2 TRIAL 0.25 3000 NOT_ASKED");
            assertEnded(stream);
        }
        assertThat(counters.toString()).contains("news unreadable=1").contains("news connections=2");
    }

    @Test
    void replacesSilentStreamOnlyOnceReplacementDelivers() throws Exception {
        try (Socket replacement = acceptStream()) {
            push(stream, line("trial", 8));
            assertThat(nextUpdate()).isEqualTo("8 2 TRIAL 0.25 3000 NOT_ASKED");
            // The old stream receives data again, so the replacement is closed.
            assertEnded(replacement);
        }
        try (Socket replacement = acceptStream()) {
            push(replacement, line("trial", 9));
            assertThat(nextUpdate()).isEqualTo("9 2 TRIAL 0.25 3000 NOT_ASKED");
            assertEnded(stream);
        }
    }

    @Test
    void reopensStreamAfterItCloses() throws Exception {
        stream.close();
        stream = acceptStream();
        push(stream, line("trial", 8));
        assertThat(nextUpdate()).isEqualTo("8 2 TRIAL 0.25 3000 NOT_ASKED");
    }
}
