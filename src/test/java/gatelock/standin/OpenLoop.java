package gatelock.standin;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/**
 * Clients that send requests at set times, whatever has come back by then, as long as one of them is free. Each request is
 * timed from when it was due, so that a stall counts for all that should have been sent in it.
 */
public final class OpenLoop {

    /**
     * @param us of the requests answered with 200
     * @param other requests with another answer, or none
     */
    public record Result(Histogram us, long other) {}

    private OpenLoop() {}

    /** So many requests a second for so long, from clients that share the ports by turns. */
    public static Result run(int[] ports, int clients, int perS, int seconds) throws InterruptedException {
        Histogram us = new ConcurrentHistogram(3);
        LongAdder other = new LongAdder();
        List<Thread> threads = new ArrayList<>();
        long fromNs = System.nanoTime() + 100_000_000;
        for (int c = 0; c < clients; c++) {
            int mine = c;
            Thread client = new Thread(() -> {
                Socket socket = null;
                for (int i = mine; i < seconds * perS; i += clients) {
                    long dueNs = fromNs + i * 1_000_000_000L / perS;
                    try {
                        for (long now = System.nanoTime(); now < dueNs; now = System.nanoTime()) {
                            TimeUnit.NANOSECONDS.sleep(dueNs - now);
                        }
                        socket = socket == null ? open(ports[mine % ports.length]) : socket;
                        if (ask(socket, fromNs + "-" + i) == 200) {
                            us.recordValue((System.nanoTime() - dueNs) / 1_000);
                        } else {
                            other.increment();
                        }
                    } catch (IOException e) {
                        other.increment();
                        socket = closed(socket);
                    } catch (InterruptedException e) {
                        break;
                    }
                }
                closed(socket);
            });
            client.start();
            threads.add(client);
        }
        for (Thread client : threads) {
            client.join();
        }
        return new Result(us, other.sum());
    }

    /** A client's connection. */
    public static Socket open(int port) throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(20_000);
        return socket;
    }

    private static Socket closed(Socket socket) {
        try {
            if (socket != null) {
                socket.close();
            }
        } catch (IOException e) {
            // it is gone either way
        }
        return null;
    }

    /** One request of the class 'read'; the status of its answer, which is read to its end. */
    public static int ask(Socket socket, String id) throws IOException {
        return call(socket, "GET /read/x HTTP/1.1\r\nHost: x\r\nX-Trace-Id: " + id + "\r\n\r\n")
                .status();
    }

    /** What came: the bytes of head and body together. */
    public record Answer(int status, long bytes, String head) {}

    /** One call on a connection that bears no other; its answer names its length. */
    public static Answer call(Socket socket, String call) throws IOException {
        socket.getOutputStream().write(call.getBytes(StandardCharsets.US_ASCII));
        InputStream in = new BufferedInputStream(socket.getInputStream());
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int b = in.read();
            if (b < 0 || head.length() > 16_384) {
                throw new IOException("no answer: " + head);
            }
            head.append((char) b);
        }
        String length = head.toString().toLowerCase().replaceAll("(?s).*\r\ncontent-length: *(\\d+)\r\n.*", "$1");
        long body = Long.parseLong(length);
        in.skipNBytes(body);
        return new Answer(Integer.parseInt(head.substring(9, 12)), head.length() + body, head.toString());
    }
}
