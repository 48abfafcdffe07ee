package gatelock.standin;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.Base64;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/** A stand-in for a WebSocket endpoint: opens sessions, echoes messages and records all events with their times. */
public final class WebSocketEndpoint implements AutoCloseable {
    private static final int BACKLOG = 500;
    private static final int SESSION_TIMEOUT_S = 20;
    /** The GUID for computing Sec-WebSocket-Accept, RFC 6455, section 1.3. */
    private static final String ACCEPT_GUID = "258EAFA5-E914-47DA-95CA-C5AB0DC85B11";

    /**
     * An event on a session.
     *
     * @param atNs time of System.nanoTime
     * @param event the text of a message, {@code open}, {@code close CODE}, or {@code ended} without a close frame
     */
    public record Received(long atNs, String event) {}

    private final ServerSocket listener = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
    private final List<Received> received = new CopyOnWriteArrayList<>();
    private final List<HttpMessage> requests = new CopyOnWriteArrayList<>();
    private final BlockingQueue<WebSocketPeer> openedSessions = new LinkedBlockingQueue<>();
    private final List<Socket> sockets = new CopyOnWriteArrayList<>();
    private volatile boolean rejectsRequests;
    private volatile boolean echoesMessages = true;
    private volatile String greeting = "";
    private volatile long openingMs;

    /** Starts an endpoint that accepts sessions and echoes their messages. */
    public WebSocketEndpoint() throws IOException {
        BackgroundTask.start(() -> {
            while (!listener.isClosed()) {
                Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                sockets.add(socket);
                BackgroundTask.start(() -> serve(socket));
            }
        });
    }

    /** Returns the host and port on which the endpoint listens. */
    public String address() {
        return "127.0.0.1:" + port();
    }

    /** Returns the port on which the endpoint listens. */
    public int port() {
        return listener.getLocalPort();
    }

    /** From now on rejects all requests with status 503 and X-Never-Ran, which says that they were not executed. */
    public void rejectRequests() {
        rejectsRequests = true;
    }

    /** From now on new sessions are not echoed; the test handles them with {@link #awaitSession}. */
    public void stopEchoing() {
        echoesMessages = false;
    }

    /** Returns all requests so far, opening handshakes included. */
    public List<HttpMessage> requests() {
        return requests;
    }

    /** Returns all events so far. */
    public List<Received> received() {
        return received;
    }

    /** From now on sends this short text message together with the response to each opening handshake. */
    public void greet(String text) {
        greeting = (char) (WebSocketPeer.FINAL | WebSocketPeer.TEXT) + "" + (char) text.length() + text;
    }

    /** From now on waits this long before it answers an opening handshake. */
    public void delayOpenings(long ms) {
        openingMs = ms;
    }

    /** Returns the endpoint's side of the next session that is opened; fails if none is opened within 20 s. */
    public WebSocketPeer awaitSession() throws InterruptedException {
        WebSocketPeer session = openedSessions.poll(SESSION_TIMEOUT_S, TimeUnit.SECONDS);
        if (session == null) {
            throw new AssertionError("expected a session to be opened within 20 s");
        }
        return session;
    }

    private void serve(Socket socket) throws IOException, GeneralSecurityException, InterruptedException {
        String key = null;
        while (key == null) {
            HttpMessage request = RawHttp.readMessage(socket);
            if (request == null) {
                return;
            }
            requests.add(request);
            if (rejectsRequests) {
                request.respond("503 No", "X-Never-Ran: 1\r\n", "");
                socket.close();
                return;
            }
            key = request.header("Sec-WebSocket-Key");
            if (key == null) {
                request.respond("200 OK", "", "done\n");
            }
        }
        record("open");
        TimeUnit.MILLISECONDS.sleep(openingMs);
        RawHttp.write(
                socket,
                "HTTP/1.1 101 Switching Protocols\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"
                        + "Sec-WebSocket-Accept: " + accept(key) + "\r\n\r\n" + greeting);
        WebSocketPeer session = new WebSocketPeer(socket, false);
        openedSessions.add(session);
        if (echoesMessages) {
            echo(session, socket);
        }
    }

    private static String accept(String key) throws GeneralSecurityException {
        byte[] bytes = (key + ACCEPT_GUID).getBytes(StandardCharsets.US_ASCII);
        return Base64.getEncoder()
                .encodeToString(MessageDigest.getInstance("SHA-1").digest(bytes));
    }

    private void echo(WebSocketPeer session, Socket socket) throws IOException {
        for (WebSocketPeer.Frame frame = session.readMessage(); !frame.isEnd(); frame = session.readMessage()) {
            boolean isClose = frame.opcode() == WebSocketPeer.CLOSE;
            record(isClose ? "close " + frame.code() : frame.text());
            session.sendFrame(WebSocketPeer.FINAL | frame.opcode(), frame.body());
            if (isClose) {
                socket.close();
                return;
            }
        }
        record("ended");
    }

    private void record(String event) {
        received.add(new Received(System.nanoTime(), event));
    }

    @Override
    public void close() throws IOException {
        listener.close();
        for (Socket socket : sockets) {
            socket.close();
        }
    }
}
