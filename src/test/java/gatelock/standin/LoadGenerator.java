package gatelock.standin;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/**
 * An open-loop load generator: requests are due at fixed times, independently of the responses to earlier requests. Each
 * client has at most one request in flight. Response times are measured from the time a request was due, so that a stall
 * also counts for the requests that were delayed by it.
 */
public final class LoadGenerator {
    private static final int TIMEOUT_MS = 20_000;
    private static final int MAX_HEAD_CHARS = 16_384;
    private static final long FIRST_DUE_NS = 100_000_000;
    private static final long NS_PER_S = 1_000_000_000;

    /**
     * The outcome of a load.
     *
     * @param responseTimesUs response times of the requests answered with 200, in microseconds
     * @param failures number of requests that had another response or none
     */
    public record Result(Histogram responseTimesUs, long failures) {}

    /**
     * An HTTP response.
     *
     * @param bytes size of head and body together
     */
    public record Response(int status, long bytes, String head) {}

    private final Histogram responseTimesUs = new ConcurrentHistogram(3);
    private final LongAdder failures = new LongAdder();
    private final int clients;
    private final int requestsPerS;
    private final int seconds;
    private final long startNs = System.nanoTime() + FIRST_DUE_NS;

    private LoadGenerator(int clients, int requestsPerS, int seconds) {
        this.clients = clients;
        this.requestsPerS = requestsPerS;
        this.seconds = seconds;
    }

    /** Sends a load from clients that are distributed over the ports, and waits until all requests have ended. */
    public static Result run(int[] ports, int clients, int requestsPerS, int seconds) throws InterruptedException {
        LoadGenerator load = new LoadGenerator(clients, requestsPerS, seconds);
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < clients; i++) {
            int clientNo = i;
            int port = ports[clientNo % ports.length];
            Thread thread = new Thread(() -> load.runClient(clientNo, port));
            thread.start();
            threads.add(thread);
        }
        for (Thread thread : threads) {
            thread.join();
        }
        return new Result(load.responseTimesUs, load.failures.sum());
    }

    /** Sends the requests of one client: every request whose number modulo the number of clients is its own. */
    private void runClient(int clientNo, int port) {
        Socket socket = null;
        for (int i = clientNo; i < seconds * requestsPerS; i += clients) {
            long dueNs = startNs + i * NS_PER_S / requestsPerS;
            try {
                sleepUntil(dueNs);
                socket = socket == null ? open(port) : socket;
                if (requestStatus(socket, startNs + "-" + i) == 200) {
                    responseTimesUs.recordValue((System.nanoTime() - dueNs) / 1_000);
                } else {
                    failures.increment();
                }
            } catch (IOException e) {
                failures.increment();
                close(socket);
                socket = null;
            } catch (InterruptedException e) {
                break;
            }
        }
        close(socket);
    }

    private static void sleepUntil(long dueNs) throws InterruptedException {
        for (long nowNs = System.nanoTime(); nowNs < dueNs; nowNs = System.nanoTime()) {
            TimeUnit.NANOSECONDS.sleep(dueNs - nowNs);
        }
    }

    /** Opens a client connection to a port on loopback. */
    public static Socket open(int port) throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(TIMEOUT_MS);
        return socket;
    }

    private static void close(Socket socket) {
        try {
            if (socket != null) {
                socket.close();
            }
        } catch (IOException e) {
            // The connection is no longer used, so the failure has no effect.
        }
    }

    /** Sends a request of the class 'read', reads the whole response and returns its status. */
    public static int requestStatus(Socket socket, String traceId) throws IOException {
        return exchange(socket, "GET /read/x HTTP/1.1\r\nHost: x\r\nX-Trace-Id: " + traceId + "\r\n\r\n")
                .status();
    }

    /** Sends a request on a connection with no other request in flight; the response must have a content length. */
    public static Response exchange(Socket socket, String request) throws IOException {
        socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
        InputStream in = new BufferedInputStream(socket.getInputStream());
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int next = in.read();
            if (next < 0 || head.length() > MAX_HEAD_CHARS) {
                throw new IOException("expected a complete response head, got: " + head);
            }
            head.append((char) next);
        }
        String lowerCase = head.toString().toLowerCase(Locale.ROOT);
        long bodyBytes = Long.parseLong(lowerCase.replaceAll("(?s).*\r\ncontent-length: *(\\d+)\r\n.*", "$1"));
        in.skipNBytes(bodyBytes);
        return new Response(Integer.parseInt(head.substring(9, 12)), head.length() + bodyBytes, head.toString());
    }
}
