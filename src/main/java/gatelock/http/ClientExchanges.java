package gatelock.http;

import gatelock.net.EventLoop;
import gatelock.state.ClientCloseReason;
import gatelock.state.ClientConnections;
import gatelock.state.MemoryBudget;
import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpServerConnection;
import io.undertow.util.Headers;
import io.undertow.util.SameThreadExecutor;
import io.undertow.util.StatusCodes;
import java.io.IOException;
import java.lang.System.Logger.Level;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.IntConsumer;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import org.xnio.channels.StreamSinkChannel;

/**
 * The exchanges of requests and responses on client connections: what the client wrote, whether it is still connected,
 * the responses that the relay gives by itself, and the end of each exchange.
 */
final class ClientExchanges {
    private static final System.Logger LOG = System.getLogger("gatelock.http");

    /**
     * How long the connection stays open after an incomplete request is rejected, so that the client can read the
     * response.
     */
    private static final long REJECTION_LINGER_US = 500_000;
    /** How long the next request on a connection is delayed after one that the relay has answered by itself. */
    private static final long REJECTION_PAUSE_US = 10_000;

    private final EventLoop eventLoop;
    private final ClientConnections<StreamConnection> connections;
    private final MemoryBudget memoryBudget;
    private final IntConsumer upgradedCountListener;
    private final Map<StreamConnection, ClientReadConduit> readConduits = new HashMap<>();
    /** The open connections that have been upgraded to another protocol. */
    private final Set<StreamConnection> upgraded = new HashSet<>();

    private boolean closesAfterResponse;

    /**
     * Creates an empty set of exchanges on these connections.
     *
     * @param memoryBudget limits the memory of the requests and responses
     * @param upgradedCountListener notified of each change of the number of open connections that have been upgraded to
     *     another protocol
     */
    ClientExchanges(
            EventLoop eventLoop,
            ClientConnections<StreamConnection> connections,
            MemoryBudget memoryBudget,
            IntConsumer upgradedCountListener) {
        this.memoryBudget = memoryBudget;
        this.upgradedCountListener = upgradedCountListener;
        this.eventLoop = eventLoop;
        this.connections = connections;
    }

    /** Puts a conduit of the relay below those of Undertow, on a connection that was accepted. */
    void add(StreamConnection connection) {
        ClientReadConduit readConduit = new ClientReadConduit(
                connection.getSourceChannel().getConduit(),
                new RequestMemory(memoryBudget),
                () -> connections.bytesRead(eventLoop.nowUs(), connection));
        connection.getSourceChannel().setConduit(readConduit);
        readConduits.put(connection, readConduit);
    }

    /** Forgets a connection that is closed. */
    void remove(StreamConnection connection) {
        ClientReadConduit readConduit = readConduits.remove(connection);
        if (readConduit != null) {
            readConduit.memory().release();
        }
        if (upgraded.remove(connection)) {
            upgradedCountListener.accept(upgraded.size());
        }
    }

    /** Returns whether bytes have arrived on a connection that were not offered to Undertow. */
    boolean hasUnreadBytes(StreamConnection connection) {
        return readConduits.get(connection).hasUnreadBytes();
    }

    /** Lets each response close its connection from now on. */
    void closeAfterResponse() {
        closesAfterResponse = true;
    }

    private static StreamConnection connectionOf(HttpServerExchange exchange) {
        return ((HttpServerConnection) exchange.getConnection()).getChannel();
    }

    /** Called first for each exchange. After it the connection expects the head of the next request. */
    void begin(HttpServerExchange exchange) {
        ClientReadConduit readConduit = readConduits.get(connectionOf(exchange));
        exchange.addExchangeCompleteListener((completed, next) -> {
            readConduit.awaitHead();
            next.proceed();
        });
        // A pipelined request may have been read together with the previous one, without a read that the conduit
        // reports.
        connections.bytesRead(eventLoop.nowUs(), connectionOf(exchange));
    }

    /** Returns the head of a request as the client wrote it. */
    RequestHead headOf(HttpServerExchange exchange) {
        return readConduits.get(connectionOf(exchange)).head();
    }

    /** Returns the memory that is held for the request of an exchange. */
    RequestMemory memoryOf(HttpServerExchange exchange) {
        return readConduits.get(connectionOf(exchange)).memory();
    }

    /** Reads ahead what has arrived behind a request, and returns what is known of its client. */
    ClientPresence presenceOf(HttpServerExchange exchange) {
        ClientReadConduit readConduit = readConduits.get(connectionOf(exchange));
        if (readConduit == null) {
            return ClientPresence.LEFT;
        }
        takeBackOverread(exchange);
        return readConduit.readAhead();
    }

    /**
     * Takes back what Undertow has read behind a chunked body, so that it is read as the next request.
     */
    private void takeBackOverread(HttpServerExchange exchange) {
        HttpServerConnection connection = (HttpServerConnection) exchange.getConnection();
        PooledByteBuffer overread = connection.getExtraBytes();
        if (overread != null) {
            connection.setExtraBytes(null);
            readConduits.get(connection.getChannel()).unread(overread.getBuffer());
            overread.close();
        }
    }

    /** Called when a request has been read completely. Its connection stays open until the response is written. */
    void requestCompleted(HttpServerExchange exchange) {
        connections.requestCompleted(eventLoop.nowUs(), connectionOf(exchange));
    }

    /**
     * Called when the response of an exchange is about to be written. After it is written, the connection waits for the
     * next request, or is closed if the relay is draining.
     */
    void responseStarted(HttpServerExchange exchange) {
        StreamConnection connection = connectionOf(exchange);
        connections.responseStarted(eventLoop.nowUs(), connection);
        exchange.addExchangeCompleteListener((completed, next) -> {
            ClientReadConduit readConduit = readConduits.get(connection);
            boolean pipelined = readConduit != null && readConduit.hasBufferedBytes();
            connections.responseWritten(eventLoop.nowUs(), connection, pipelined);
            next.proceed();
        });
        if (closesAfterResponse) {
            exchange.setPersistent(false);
            exchange.getResponseHeaders().put(Headers.CONNECTION, "close");
        }
    }

    /** Called when a connection has been upgraded to another protocol. The listener does not limit it any more. */
    void connectionUpgraded(HttpServerExchange exchange) {
        StreamConnection connection = connectionOf(exchange);
        ClientReadConduit readConduit = readConduits.get(connection);
        if (readConduit != null) {
            readConduit.upgrade();
            readConduit.memory().release();
        }
        connections.remove(connection);
        if (connection.isOpen() && upgraded.add(connection)) {
            upgradedCountListener.accept(upgraded.size());
        }
    }

    /** Called when the client has closed its connection or aborted its own request. */
    void clientDisconnected(HttpServerExchange exchange) {
        connections.close(eventLoop.nowUs(), connectionOf(exchange), ClientCloseReason.CLIENT_DISCONNECTED);
    }

    /**
     * Stops to read from a client whose request waits for nothing any more, and closes its connection: at once if the
     * client has left, otherwise after a while, so that a client that sends at full speed cannot do so again at once.
     */
    void disconnect(HttpServerExchange exchange) {
        if (presenceOf(exchange) == ClientPresence.LEFT) {
            clientDisconnected(exchange);
            return;
        }
        StreamConnection connection = connectionOf(exchange);
        connection.getSourceChannel().suspendReads();
        eventLoop.schedule(
                REJECTION_LINGER_US,
                () -> connections.close(eventLoop.nowUs(), connection, ClientCloseReason.SENT_TOO_FAR_AHEAD));
    }

    /**
     * Ends an exchange in which an unexpected exception was thrown: responds with an error, or closes the connection if
     * a response has started, as the client must not take a truncated response for a complete one.
     */
    void endAfterFailure(HttpServerExchange exchange, Throwable failure) {
        LOG.log(Level.ERROR, "unexpected exception, the request is ended", failure);
        StreamConnection connection = connectionOf(exchange);
        try {
            if (!exchange.isResponseStarted() && !connections.isWritingResponse(connection)) {
                exchange.getResponseHeaders().clear();
                reject(exchange, StatusCodes.INTERNAL_SERVER_ERROR);
                return;
            }
        } catch (RuntimeException | Error e) {
            eventLoop.logUnexpected(e);
        }
        connections.close(eventLoop.nowUs(), connection, ClientCloseReason.FAILED);
        // The connection is not among the connections any more if it was being upgraded.
        IoUtils.safeClose(connection);
    }

    /**
     * Delays the next request on a connection. Guards against a client that takes the processing time of others with
     * requests that are answered at once.
     */
    private void pauseReads(StreamConnection connection) {
        ClientReadConduit readConduit = readConduits.get(connection);
        if (readConduit != null) {
            readConduit.pause();
            eventLoop.schedule(REJECTION_PAUSE_US, readConduit::endPause);
        }
    }

    /** Responds to a request that is not accepted, whether or not it has been read completely. */
    void reject(HttpServerExchange exchange, int status) {
        respond(exchange, status);
    }

    /** Responds without a body to a request that no endpoint gets, whether or not it has been read completely. */
    void respond(HttpServerExchange exchange, int status) {
        exchange.setStatusCode(status);
        if (exchange.isRequestComplete()) {
            pauseReads(connectionOf(exchange));
            responseStarted(exchange);
            exchange.endExchange();
        } else {
            exchange.dispatch(SameThreadExecutor.INSTANCE, () -> rejectUnread(exchange));
        }
    }

    /**
     * Responds to an incomplete request that will not be read, with the status that is set on the exchange. Undertow
     * would read the rest of the request before it responds. Here the response is sent first, the rest is not read, and
     * the connection is closed shortly afterwards.
     */
    private void rejectUnread(HttpServerExchange exchange) {
        exchange.setPersistent(false);
        exchange.getResponseHeaders().put(Headers.CONTENT_LENGTH, "0");
        responseStarted(exchange);
        StreamConnection connection = connectionOf(exchange);
        eventLoop.schedule(
                REJECTION_LINGER_US,
                () -> connections.close(eventLoop.nowUs(), connection, ClientCloseReason.REJECTED));
        try {
            StreamSinkChannel response = exchange.getResponseChannel();
            response.shutdownWrites();
            response.flush();
        } catch (IOException e) {
            connections.close(eventLoop.nowUs(), connection, ClientCloseReason.REJECTED);
        }
    }
}
