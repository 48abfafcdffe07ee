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

/** One call on a connection, on an I/O thread that the test holds up. */
final class OutboundConnectionTest {
    private static final long CALL_US = 200_000;
    private final XnioWorker worker;
    private final EventLoop turn;
    private final BlockingQueue<String> heard = new LinkedBlockingQueue<>();

    OutboundConnectionTest() throws Exception {
        worker = Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1));
        turn = new EventLoop(worker.getIoThread());
    }

    @AfterEach
    void stop() {
        worker.shutdownNow();
    }

    private final class Hears implements OutboundConnection.User {
        @Override
        public boolean answered(UpstreamResponse answer) {
            heard.add("answered " + new String(answer.body(), StandardCharsets.US_ASCII));
            return true;
        }

        @Override
        public void broken(boolean written) {
            heard.add(written ? "broken" : "broken, not written");
        }

        @Override
        public void late() {
            heard.add("late");
        }
    }

    private void call(ServerSocket party) {
        InetSocketAddress at = new InetSocketAddress(InetAddress.getLoopbackAddress(), party.getLocalPort());
        turn.soon(() -> new ConnectionPool(turn, new Counters(), 1_000_000, 4_000_000, 0, 8)
                .call(
                        at,
                        ByteBuffer.wrap("GET /list HTTP/1.1\r\n\r\n".getBytes(StandardCharsets.US_ASCII)),
                        CALL_US,
                        new Hears()));
    }

    /** Holds the thread up until what the test does meanwhile is done and the call's time is over. */
    private void late(ServerSocket party, String answer) throws Exception {
        call(party);
        try (Socket caller = party.accept()) {
            caller.getInputStream().read();
            CountDownLatch on = DelayedIoThread.hold(turn);
            caller.getOutputStream().write(answer.getBytes(StandardCharsets.US_ASCII));
            Thread.sleep(2 * CALL_US / 1000);
            on.countDown();
            heard.add("first: " + heard.poll(20, TimeUnit.SECONDS));
        }
    }

    @Test
    void anAnswerThatLiesUnreadWhenItsTimeIsOverIsTaken() throws Exception {
        try (ServerSocket party = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            late(party, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlist");
            assertThat(heard).containsExactly("first: answered list");
        }
    }

    @Test
    void halfAnAnswerIsLate() throws Exception {
        try (ServerSocket party = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            late(party, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nli");
            assertThat(heard).containsExactly("first: late");
        }
    }

    @Test
    void anAnswerBeforeTheCallIsWholeAnswersNothing() throws Exception {
        try (ServerSocket party = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            InetSocketAddress at = new InetSocketAddress(InetAddress.getLoopbackAddress(), party.getLocalPort());
            // More than the system takes at once from one that nobody reads from.
            ByteBuffer large = ByteBuffer.allocate(64 * 1024 * 1024);
            turn.soon(() -> new ConnectionPool(turn, new Counters(), 1_000_000, 4_000_000, 0, 8)
                    .call(at, large, 20_000_000, new Hears()));
            try (Socket caller = party.accept()) {
                caller.getInputStream().read();
                caller.getOutputStream()
                        .write("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nearly".getBytes(StandardCharsets.US_ASCII));
                assertThat(heard.poll(20, TimeUnit.SECONDS)).isEqualTo("broken, not written");
            }
        }
    }

    @Test
    void silenceIsLateOnce() throws Exception {
        try (ServerSocket party = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            call(party);
            try (Socket caller = party.accept()) {
                assertThat(caller.getInputStream().read()).isEqualTo('G');
                assertThat(heard.poll(20, TimeUnit.SECONDS)).isEqualTo("late");
                Thread.sleep(100);
                assertThat(heard).isEmpty();
            }
        }
    }
}
