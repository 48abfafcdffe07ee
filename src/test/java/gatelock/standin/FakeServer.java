package gatelock.standin;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/** A stand-in for an endpoint, discovery or the release controller: queues all calls for the test to answer. */
public final class FakeServer implements AutoCloseable {
    private static final int BACKLOG = 50;
    private static final int CALL_TIMEOUT_S = 60;

    private final BlockingQueue<HttpMessage> calls = new LinkedBlockingQueue<>();
    private final BlockingQueue<Socket> closedConnections = new LinkedBlockingQueue<>();
    private final List<Socket> connections = new CopyOnWriteArrayList<>();
    private final ServerSocket listener;
    /** Connections opened by this server to itself to fill its backlog until {@link #accept}. */
    private final List<Socket> backlogFillers = new ArrayList<>();

    /** Starts a server that accepts connections. */
    public FakeServer() throws IOException {
        this(BACKLOG);
        accept();
    }

    private FakeServer(int backlog) throws IOException {
        listener = new ServerSocket(0, backlog, InetAddress.getLoopbackAddress());
    }

    /** Starts a server whose backlog is full, so that no connection can be established before {@link #accept}. */
    public static FakeServer withFullBacklog() throws IOException {
        FakeServer server = new FakeServer(1);
        for (int i = 0; i < 16; i++) {
            Socket socket = new Socket();
            server.backlogFillers.add(socket);
            try {
                socket.connect(server.listener.getLocalSocketAddress(), 300);
            } catch (SocketTimeoutException e) {
                return server;
            }
        }
        throw new IOException("expected the backlog to fill after at most 16 connections");
    }

    /** Closes the connections that fill the backlog, and starts to accept connections. */
    public void accept() throws IOException {
        for (Socket socket : backlogFillers) {
            socket.close();
        }
        BackgroundTask.start(() -> {
            while (!listener.isClosed()) {
                Socket socket = listener.accept();
                connections.add(socket);
                BackgroundTask.start(() -> readCalls(socket));
            }
        });
    }

    private void readCalls(Socket socket) throws IOException {
        try {
            for (HttpMessage call = RawHttp.readMessage(socket); call != null; call = RawHttp.readMessage(socket)) {
                calls.add(call);
            }
        } finally {
            closedConnections.add(socket);
        }
    }

    /** Stops listening: connections are refused from now on. */
    public void refuseConnections() throws IOException {
        listener.close();
    }

    /** Returns the address on which the server listens. */
    public InetSocketAddress socketAddress() {
        return (InetSocketAddress) listener.getLocalSocketAddress();
    }

    /** Returns the host and port on which the server listens. */
    public String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    /** Returns the next call; fails if none arrives within 60 s. */
    public HttpMessage awaitCall() throws InterruptedException {
        HttpMessage call = calls.poll(CALL_TIMEOUT_S, TimeUnit.SECONDS);
        if (call == null) {
            throw new AssertionError("expected a call within 60 s");
        }
        return call;
    }

    /** Returns the calls that {@link #awaitCall} has not returned yet. */
    public BlockingQueue<HttpMessage> calls() {
        return calls;
    }

    /** Returns the connections that the relay closed, in the order of closing. */
    public BlockingQueue<Socket> closedConnections() {
        return closedConnections;
    }

    /** Returns all connections that were accepted. */
    public List<Socket> connections() {
        return connections;
    }

    @Override
    public void close() throws IOException {
        listener.close();
        connections.addAll(backlogFillers);
        for (Socket socket : connections) {
            socket.close();
        }
    }
}
