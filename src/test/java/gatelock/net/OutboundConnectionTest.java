package gatelock.net;

import static org.assertj.core.api.Assertions.assertThat;

import gatelock.state.Counters;
import gatelock.state.UpstreamResponse;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/**
 * Verifies the outcome of one request when its response is late, incomplete, early or missing. In some cases the I/O
 * thread is blocked, so that its timers run before it reads a response that has already arrived.
 */
final class OutboundConnectionTest {
    private static final long TIMEOUT_US = 200_000;
    private final XnioWorker worker;
    private final EventLoop eventLoop;
    private final BlockingQueue<String> outcomes = new LinkedBlockingQueue<>();

    OutboundConnectionTest() throws Exception {
        worker = Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1));
        eventLoop = new EventLoop(worker.getIoThread());
    }

    @AfterEach
    void stop() {
        worker.shutdownNow();
    }

    /** Records the outcome of a request. */
    private final class RecordingHandler implements OutboundConnection.ResponseHandler {
        @Override
        public boolean onResponse(UpstreamResponse response) {
            outcomes.add("answered " + new String(response.body(), StandardCharsets.US_ASCII));
            return true;
        }

        @Override
        public void onConnectionLost(boolean written) {
            outcomes.add(written ? "broken" : "broken, not written");
        }

        @Override
        public void onTimeout() {
            outcomes.add("late");
        }
    }

    private void send(ServerSocket server) {
        InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), server.getLocalPort());
        eventLoop.execute(() -> new ConnectionPool(eventLoop, new Counters(), 1_000_000, 4_000_000, 0, 8)
                .send(
                        address,
                        ByteBuffer.wrap("GET /list HTTP/1.1\r\n\r\n".getBytes(StandardCharsets.US_ASCII)),
                        TIMEOUT_US,
                        new RecordingHandler()));
    }

    /** Blocks the I/O thread until the response has been written and the timeout of the request has expired. */
    private void respondLate(ServerSocket server, String response) throws Exception {
        send(server);
        try (Socket client = server.accept()) {
            client.getInputStream().read();
            CountDownLatch release = DelayedIoThread.block(eventLoop);
            client.getOutputStream().write(response.getBytes(StandardCharsets.US_ASCII));
            Thread.sleep(2 * TIMEOUT_US / 1_000);
            release.countDown();
            outcomes.add("first: " + outcomes.poll(20, TimeUnit.SECONDS));
        }
    }

    @Test
    void acceptsResponseThatIsUnreadWhenTheTimeoutExpires() throws Exception {
        try (ServerSocket server = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            respondLate(server, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlist");
            assertThat(outcomes).containsExactly("first: answered list");
        }
    }

    @Test
    void timesOutOnIncompleteResponse() throws Exception {
        try (ServerSocket server = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            respondLate(server, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nli");
            assertThat(outcomes).containsExactly("first: late");
        }
    }

    @Test
    void rejectsResponseBeforeRequestIsFullySent() throws Exception {
        try (ServerSocket server = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), server.getLocalPort());
            // More than the operating system buffers while the server does not read.
            ByteBuffer large = ByteBuffer.allocate(64 * 1024 * 1024);
            eventLoop.execute(() -> new ConnectionPool(eventLoop, new Counters(), 1_000_000, 4_000_000, 0, 8)
                    .send(address, large, 20_000_000, new RecordingHandler()));
            try (Socket client = server.accept()) {
                client.getInputStream().read();
                client.getOutputStream()
                        .write("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nearly".getBytes(StandardCharsets.US_ASCII));
                assertThat(outcomes.poll(20, TimeUnit.SECONDS)).isEqualTo("broken, not written");
            }
        }
    }

    @Test
    void timesOutOnceWithoutResponse() throws Exception {
        try (ServerSocket server = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            send(server);
            try (Socket client = server.accept()) {
                assertThat(client.getInputStream().read()).isEqualTo('G');
                assertThat(outcomes.poll(20, TimeUnit.SECONDS)).isEqualTo("late");
                Thread.sleep(100);
                assertThat(outcomes).isEmpty();
            }
        }
    }
}
