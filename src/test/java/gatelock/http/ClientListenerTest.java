package gatelock.http;

import static org.assertj.core.api.Assertions.assertThat;

import gatelock.net.DelayedIoThread;
import gatelock.net.EventLoop;
import gatelock.state.Counters;
import gatelock.state.DescriptorBudget;
import gatelock.state.MemoryBudget;
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

/**
 * Guards against closing a connection whose next request has arrived but is still unread when its idle timeout expires.
 * This happens when the I/O thread is delayed, which the test does on purpose.
 */
final class ClientListenerTest {
    private static final String REQUEST = "GET /read HTTP/1.1\r\nHost: x\r\n\r\n";

    @Test
    void answersRequestThatIsUnreadWhenItsIdleTimeoutExpires() throws Exception {
        XnioWorker worker = Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1));
        List<Socket> connected = new ArrayList<>();
        try {
            EventLoop eventLoop = new EventLoop(worker.getIoThread());
            ClientListener listener = new ClientListener(
                    eventLoop, new Counters(), new DescriptorBudget(800), new MemoryBudget(new Counters(), 1 << 24));
            InetSocketAddress address = listener.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            listener.setRequestHandler(
                    exchange -> {
                        listener.exchanges().requestCompleted(exchange);
                        listener.exchanges().responseStarted(exchange);
                        exchange.getResponseSender().send("fine");
                    },
                    true);
            for (int i = 0; i < 60; i++) {
                connected.add(new Socket(address.getAddress(), address.getPort()));
                connected.get(i).getOutputStream().write(REQUEST.getBytes(StandardCharsets.US_ASCII));
                assertThat(receivesResponse(connected.get(i))).isTrue();
                Thread.sleep(5);
            }
            // From about this time on, the idle timeouts of all connections expire within half a second.
            Thread.sleep(1_500);
            for (int i = 0; i < 60; i += 5) {
                CountDownLatch release = DelayedIoThread.block(eventLoop);
                List<Socket> requesting = new ArrayList<>();
                for (Socket client : connected.subList(i, i + 5)) {
                    if (!isClosed(client)) {
                        client.getOutputStream().write(REQUEST.getBytes(StandardCharsets.US_ASCII));
                        requesting.add(client);
                    }
                }
                Thread.sleep(80);
                release.countDown();
                for (Socket client : requesting) {
                    assertThat(receivesResponse(client)).isTrue();
                }
            }
        } finally {
            for (Socket client : connected) {
                client.close();
            }
            worker.shutdownNow();
        }
    }

    private static boolean receivesResponse(Socket client) throws IOException {
        client.setSoTimeout(20_000);
        InputStream in = client.getInputStream();
        StringBuilder response = new StringBuilder();
        for (int b = in.read(); b >= 0; b = in.read()) {
            if (response.append((char) b).toString().endsWith("fine")) {
                return true;
            }
        }
        return false;
    }

    /**
     * Returns whether the listener has closed a connection. While the I/O thread is blocked, it closes no connections.
     */
    private static boolean isClosed(Socket client) throws IOException {
        client.setSoTimeout(1);
        try {
            return client.getInputStream().read() < 0;
        } catch (SocketTimeoutException e) {
            return false;
        }
    }
}
