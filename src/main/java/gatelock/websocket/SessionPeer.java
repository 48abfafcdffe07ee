package gatelock.websocket;

import gatelock.config.SessionPolicy;
import gatelock.net.EventLoop;
import gatelock.session.CloseReason;
import gatelock.session.SessionSide;
import io.undertow.websockets.core.AbstractReceiveListener;
import io.undertow.websockets.core.BufferedBinaryMessage;
import io.undertow.websockets.core.CloseMessage;
import io.undertow.websockets.core.StreamSourceFrameChannel;
import io.undertow.websockets.core.WebSocketCallback;
import io.undertow.websockets.core.WebSocketChannel;
import io.undertow.websockets.core.WebSocketException;
import io.undertow.websockets.core.WebSockets;
import java.io.IOException;
import java.lang.System.Logger.Level;
import java.nio.ByteBuffer;
import java.nio.channels.ClosedChannelException;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import org.xnio.IoUtils;

/**
 * The connection to one side of a session. It reads one message at a time: the next one is read once this one was
 * written to the other side, so that a side that reads slowly stalls its own peer only.
 */
final class SessionPeer extends AbstractReceiveListener implements MessageReader.Handler {
    private static final System.Logger LOG = System.getLogger("gatelock.websocket");
    /** A side that has not read one message by then stalls the session. */
    private static final long WRITE_TIMEOUT_US = 30_000_000;
    /** The most bytes in the body of a control frame (RFC 6455, 5.5). */
    private static final int MAX_CONTROL_BYTES = 125;

    /** Handles the events of a side. */
    interface Listener {
        /** Handles a whole message, which {@link SessionPeer#send} sends; nothing more is read from the side. */
        void messageReceived(SessionPeer from, boolean text, byte[] message);

        /** Handles a close frame. */
        void closeReceived(SessionSide side, CloseFrame frame);

        /** Handles the end of the connection. */
        void connectionLost(SessionSide side);

        /** Handles a violation of the protocol or a limit. */
        void violation(CloseReason reason);

        /** Returns whether messages still pass. */
        boolean isOpen();
    }

    private final SessionSide side;
    private final WebSocketChannel channel;
    private final EventLoop loop;
    private final SessionPolicy policy;
    private final Listener listener;
    private final FrameRateLimiter frameLimiter;
    private long lastFrameUs;
    private long lastPingUs;
    /** Since when a message is being written to this side; 0: none is. */
    private long writingSinceUs;

    SessionPeer(SessionSide side, WebSocketChannel channel, EventLoop loop, SessionPolicy policy, Listener listener) {
        this.side = side;
        this.channel = channel;
        this.loop = loop;
        this.policy = policy;
        this.listener = listener;
        this.frameLimiter = new FrameRateLimiter(policy.maxFramesPerSecond());
        this.lastFrameUs = loop.nowUs();
        this.lastPingUs = loop.nowUs();
    }

    SessionSide side() {
        return side;
    }

    /** Begins to read. */
    void start() {
        channel.addCloseTask(closed -> loop.execute(() -> listener.connectionLost(side)));
        channel.getReceiveSetter().set(this);
        channel.resumeReceives();
    }

    /** Returns whether a message has been on its way to this side for too long. */
    boolean isStalled(long nowUs) {
        return writingSinceUs > 0 && nowUs - writingSinceUs > WRITE_TIMEOUT_US;
    }

    /** Returns whether nothing has come for two and a half ping intervals. */
    boolean isUnresponsive(long nowUs) {
        return nowUs - lastFrameUs > 2 * policy.pingIntervalUs() + policy.pingIntervalUs() / 2;
    }

    /** Sends a ping if nothing has come and no ping was sent for the ping interval. */
    void pingIfSilent(long nowUs) {
        if (nowUs - Math.max(lastFrameUs, lastPingUs) >= policy.pingIntervalUs()) {
            lastPingUs = nowUs;
            WebSockets.sendPing(ByteBuffer.allocate(0), channel, null);
        }
    }

    /** Writes a message to this side; the side it came from is read again once it is written. */
    void send(boolean text, byte[] message, SessionPeer from) {
        writingSinceUs = loop.nowUs();
        WebSocketCallback<Void> whenWritten = new WebSocketCallback<>() {
            @Override
            public void complete(WebSocketChannel to, Void nothing) {
                writingSinceUs = 0;
                from.channel.resumeReceives();
            }

            @Override
            public void onError(WebSocketChannel to, Void nothing, Throwable failure) {
                loop.execute(() -> listener.connectionLost(side));
            }
        };
        if (text) {
            WebSockets.sendText(ByteBuffer.wrap(message), channel, whenWritten);
        } else {
            WebSockets.sendBinary(ByteBuffer.wrap(message), channel, whenWritten);
        }
    }

    /** Sends a close frame and reads on, so that the answer is received. */
    void sendClose(CloseFrame frame) {
        WebSocketCallback<Void> whenWritten = new WebSocketCallback<>() {
            @Override
            public void complete(WebSocketChannel to, Void nothing) {
                to.resumeReceives();
            }

            @Override
            public void onError(WebSocketChannel to, Void nothing, Throwable failure) {
                loop.execute(() -> listener.connectionLost(side));
            }
        };
        // As bytes, because Undertow's close refuses codes over 1011, which were registered later, as numbers.
        WebSockets.sendClose(new CloseMessage(frame.encode()), channel, whenWritten);
        channel.resumeReceives();
    }

    /** Ends the connection without a close frame. */
    void disconnect() {
        IoUtils.safeClose(channel);
    }

    /** Notes a frame of this side; returns whether it is within the limit, and ends the session if not. */
    private boolean admitFrame() {
        long nowUs = loop.nowUs();
        lastFrameUs = nowUs;
        if (side == SessionSide.ENDPOINT || frameLimiter.tryAcquire(nowUs)) {
            return true;
        }
        listener.violation(CloseReason.TOO_MANY_FRAMES);
        return false;
    }

    @Override
    protected long getMaxPingBufferSize() {
        return MAX_CONTROL_BYTES;
    }

    @Override
    protected long getMaxPongBufferSize() {
        return MAX_CONTROL_BYTES;
    }

    @Override
    protected long getMaxCloseBufferSize() {
        return MAX_CONTROL_BYTES;
    }

    @Override
    protected void onText(WebSocketChannel from, StreamSourceFrameChannel frames) {
        new MessageReader(true, policy.maxMessageBytes(), this).handleEvent(frames);
    }

    @Override
    protected void onBinary(WebSocketChannel from, StreamSourceFrameChannel frames) {
        new MessageReader(false, policy.maxMessageBytes(), this).handleEvent(frames);
    }

    @Override
    public void messageRead(boolean text, byte[] message) {
        if (text && !isUtf8(message)) {
            listener.violation(violationBy(CloseReason.INVALID_UTF8));
            return;
        }
        if (!listener.isOpen() || !admitFrame()) {
            return;
        }
        channel.suspendReceives();
        listener.messageReceived(this, text, message);
    }

    @Override
    public void messageTooBig() {
        listener.violation(violationBy(CloseReason.MESSAGE_TOO_BIG));
    }

    @Override
    public void readFailed(IOException failure) {
        onError(channel, failure);
    }

    private static boolean isUtf8(byte[] message) {
        try {
            StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(message));
            return true;
        } catch (CharacterCodingException e) {
            return false;
        }
    }

    @Override
    protected void onFullPingMessage(WebSocketChannel from, BufferedBinaryMessage message) throws IOException {
        if (admitFrame()) {
            super.onFullPingMessage(from, message);
        } else {
            message.getData().close();
        }
    }

    @Override
    protected void onFullPongMessage(WebSocketChannel from, BufferedBinaryMessage message) throws IOException {
        admitFrame();
        super.onFullPongMessage(from, message);
    }

    @Override
    protected void onFullCloseMessage(WebSocketChannel from, BufferedBinaryMessage message) {
        CloseFrame frame;
        try (var pooled = message.getData()) {
            frame = CloseFrame.decode(WebSockets.mergeBuffers(pooled.getResource()));
        }
        listener.closeReceived(side, frame);
    }

    /**
     * Handles a failure that Undertow found. It reports violations of the protocol as a {@link WebSocketException} or
     * as a plain exception whose message has one of its own numbers ("UT002...") in front; all others are failures of
     * the connection.
     */
    @Override
    protected void onError(WebSocketChannel from, Throwable failure) {
        LOG.log(Level.DEBUG, () -> "session, " + side + ": " + failure);
        String message = String.valueOf(failure.getMessage());
        boolean reportedByUndertow = failure instanceof WebSocketException || message.startsWith("UT");
        if (failure instanceof ClosedChannelException || !reportedByUndertow) {
            listener.connectionLost(side);
        } else {
            listener.violation(
                    violationBy(message.contains("UTF") ? CloseReason.INVALID_UTF8 : CloseReason.PROTOCOL_ERROR));
        }
    }

    private CloseReason violationBy(CloseReason clientReason) {
        return side == SessionSide.ENDPOINT ? CloseReason.ENDPOINT_PROTOCOL_ERROR : clientReason;
    }
}
