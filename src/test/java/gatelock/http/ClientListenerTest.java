package gatelock.http;

import static org.assertj.core.api.Assertions.assertThat;

import gatelock.net.DelayedIoThread;
import gatelock.net.EventLoop;
import gatelock.state.Counters;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/** The listener alone, on an I/O thread that the test holds up. */
final class ClientListenerTest {
    private static final String REQ = "GET /read HTTP/1.1\r\nHost: x\r\n\r\n";

    @Test
    void aRequestThatCameWhileTheThreadWasLateIsAnsweredThoughItsConnectionWasDueToEnd() throws Exception {
        XnioWorker worker = Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1));
        List<Socket> standing = new ArrayList<>();
        try {
            EventLoop turn = new EventLoop(worker.getIoThread());
            ClientListener front = new ClientListener(turn, new Counters(), 200, 300);
            InetSocketAddress at = front.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            front.admit(
                    exchange -> {
                        front.whole(exchange);
                        front.last(exchange);
                        exchange.getResponseSender().send("fine");
                    },
                    true);
            for (int i = 0; i < 60; i++) {
                standing.add(new Socket(at.getAddress(), at.getPort()));
                standing.get(i).getOutputStream().write(REQ.getBytes(StandardCharsets.US_ASCII));
                assertThat(answered(standing.get(i))).isTrue();
                Thread.sleep(5);
            }
            // All are due to end within half a second from about here.
            Thread.sleep(1_500);
            for (int i = 0; i < 60; i += 5) {
                CountDownLatch on = DelayedIoThread.hold(turn);
                List<Socket> asking = new ArrayList<>();
                for (Socket client : standing.subList(i, i + 5)) {
                    if (!hasEnded(client)) {
                        client.getOutputStream().write(REQ.getBytes(StandardCharsets.US_ASCII));
                        asking.add(client);
                    }
                }
                Thread.sleep(80);
                on.countDown();
                for (Socket client : asking) {
                    assertThat(answered(client)).isTrue();
                }
            }
        } finally {
            for (Socket client : standing) {
                client.close();
            }
            worker.shutdownNow();
        }
    }

    private static boolean answered(Socket client) throws IOException {
        client.setSoTimeout(20_000);
        InputStream in = client.getInputStream();
        StringBuilder answer = new StringBuilder();
        for (int b = in.read(); b >= 0; b = in.read()) {
            if (answer.append((char) b).toString().endsWith("fine")) {
                return true;
            }
        }
        return false;
    }

    /** Whether the end of a connection has come: while the thread is held up, no more ends than have come. */
    private static boolean hasEnded(Socket client) throws IOException {
        client.setSoTimeout(1);
        try {
            return client.getInputStream().read() < 0;
        } catch (SocketTimeoutException e) {
            return false;
        }
    }
}
