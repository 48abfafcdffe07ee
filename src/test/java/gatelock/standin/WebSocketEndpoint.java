package gatelock.standin;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.Base64;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/** An endpoint that speaks WebSocket: opens sessions, echoes texts, and notes with its time all that came. */
public final class WebSocketEndpoint implements AutoCloseable {
    /** What came on one session, when. */
    public record Came(long ns, String what) {}

    private final ServerSocket listener = new ServerSocket(0, 500, InetAddress.getLoopbackAddress());
    private final List<Came> log = new CopyOnWriteArrayList<>();
    private final BlockingQueue<WebSocketPeer> opened = new LinkedBlockingQueue<>();
    private final List<Socket> sockets = new CopyOnWriteArrayList<>();
    private volatile boolean refuses;
    private volatile boolean echoes = true;

    public WebSocketEndpoint() throws IOException {
        thread(() -> {
            while (!listener.isClosed()) {
                Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                sockets.add(socket);
                thread(() -> serve(socket));
            }
        });
    }

    private interface Work {
        void run() throws Exception;
    }

    private static void thread(Work work) {
        Thread thread = new Thread(() -> {
            try {
                work.run();
            } catch (Exception e) {
                // the connection or the hive has ended
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    public String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    /** From now on openings are answered 503, never run. */
    public void refuse() {
        refuses = true;
    }

    /** From now on the test reads what comes on sessions opened later. */
    public void stay() {
        echoes = false;
    }

    public List<Came> log() {
        return log;
    }

    /** This endpoint's end of the session that was opened next. */
    public WebSocketPeer next() throws InterruptedException {
        WebSocketPeer tablet = opened.poll(20, TimeUnit.SECONDS);
        if (tablet == null) {
            throw new AssertionError("no session was opened");
        }
        return tablet;
    }

    private static String head(Socket socket) throws IOException {
        StringBuilder head = new StringBuilder();
        while (!head.toString().endsWith("\r\n\r\n")) {
            int b = socket.getInputStream().read();
            if (b < 0) {
                throw new IOException("it ended");
            }
            head.append((char) b);
        }
        return head.toString();
    }

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    private void serve(Socket socket) throws Exception {
        String key = null;
        while (key == null) {
            String head = head(socket);
            key = head.lines()
                    .filter(l -> l.toLowerCase().startsWith("sec-websocket-key:"))
                    .map(l -> l.substring(18).trim())
                    .findFirst()
                    .orElse(null);
            if (refuses) {
                write(socket, "HTTP/1.1 503 No\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n");
                socket.close();
                return;
            }
            if (key == null) {
                // An ordinary request.
                write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\ndone\n");
            }
        }
        log.add(new Came(System.nanoTime(), "open"));
        String accept = Base64.getEncoder()
                .encodeToString(MessageDigest.getInstance("SHA-1")
                        .digest((key + "258EAFA5-E914-47DA-95CA-C5AB0DC85B11").getBytes(StandardCharsets.US_ASCII)));
        socket.getOutputStream()
                .write(("HTTP/1.1 101 Switching Protocols\r\nUpgrade: "
                                + "websocket\r\nConnection: Upgrade\r\n"
                                + "Sec-WebSocket-Accept: " + accept + "\r\n\r\n")
                        .getBytes(StandardCharsets.US_ASCII));
        WebSocketPeer end = new WebSocketPeer(socket, false);
        opened.add(end);
        if (echoes) {
            for (WebSocketPeer.Frame f = end.frame(); f.opcode() >= 0; f = end.frame()) {
                log.add(new Came(
                        System.nanoTime(), f.opcode() == WebSocketPeer.CLOSE ? "close " + f.code() : f.text()));
                if (f.opcode() == WebSocketPeer.CLOSE) {
                    end.frame(0x80 | WebSocketPeer.CLOSE, f.body());
                    socket.close();
                    return;
                }
                end.frame(0x80 | f.opcode(), f.body());
            }
            log.add(new Came(System.nanoTime(), "ended"));
        }
    }

    @Override
    public void close() throws IOException {
        listener.close();
        for (Socket s : sockets) {
            s.close();
        }
    }
}
