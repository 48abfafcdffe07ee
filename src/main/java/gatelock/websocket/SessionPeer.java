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
 * The connection to one side of a session. It reads one message at a time: the next message is read only after the
 * current one was written to the other side, so that a slow reader delays only its own peer.
 */
final class SessionPeer extends AbstractReceiveListener implements MessageReader.Handler {
    private static final System.Logger LOG = System.getLogger("gatelock.websocket");
    /** A session is stalled if writing one message to a side takes longer than this. */
    private static final long WRITE_TIMEOUT_US = 30_000_000;
    /** Maximum length of the body of a control frame (RFC 6455, 5.5). */
    private static final int MAX_CONTROL_FRAME_BYTES = 125;

    /** Receives the events of a side. */
    interface Listener {
        /**
         * Handles a complete message. Nothing more is read from the side until {@link SessionPeer#send} has written the
         * message to the other side.
         */
        void messageReceived(SessionPeer from, boolean text, byte[] message);

        /** Handles a close frame. */
        void closeReceived(SessionSide side, CloseFrame frame);

        /** Handles the loss of the connection. */
        void connectionLost(SessionSide side);

        /** Handles a violation of the protocol or of a limit. */
        void violation(CloseReason reason);

        /** Returns whether messages are still forwarded. */
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
    /** When the write of the current message to this side began, or 0 if no message is being written. */
    private long writingSinceUs;

    /** Wraps an open connection. Nothing is read until {@link #start} is called. */
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

    /** Returns the side of the session. */
    SessionSide side() {
        return side;
    }

    /** Begins to read frames. */
    void start() {
        channel.addCloseTask(closed -> loop.execute(() -> listener.connectionLost(side)));
        channel.getReceiveSetter().set(this);
        channel.resumeReceives();
    }

    /** Returns whether the current write to this side has taken longer than the write timeout. */
    boolean isStalled(long nowUs) {
        return writingSinceUs > 0 && nowUs - writingSinceUs > WRITE_TIMEOUT_US;
    }

    /** Returns whether no frame was received for more than two and a half ping intervals. */
    boolean isUnresponsive(long nowUs) {
        return nowUs - lastFrameUs > 2 * policy.pingIntervalUs() + policy.pingIntervalUs() / 2;
    }

    /** Sends a ping if no frame was received and no ping was sent during the last ping interval. */
    void pingIfSilent(long nowUs) {
        if (nowUs - Math.max(lastFrameUs, lastPingUs) >= policy.pingIntervalUs()) {
            lastPingUs = nowUs;
            WebSockets.sendPing(ByteBuffer.allocate(0), channel, null);
        }
    }

    /** Writes a message to this side and resumes reading from the other side once it is written. */
    void send(boolean text, byte[] message, SessionPeer from) {
        writingSinceUs = loop.nowUs();
        WebSocketCallback<Void> whenWritten = new WebSocketCallback<>() {
            @Override
            public void complete(WebSocketChannel to, Void attachment) {
                writingSinceUs = 0;
                from.channel.resumeReceives();
            }

            @Override
            public void onError(WebSocketChannel to, Void attachment, Throwable failure) {
                loop.execute(() -> listener.connectionLost(side));
            }
        };
        if (text) {
            WebSockets.sendText(ByteBuffer.wrap(message), channel, whenWritten);
        } else {
            WebSockets.sendBinary(ByteBuffer.wrap(message), channel, whenWritten);
        }
    }

    /** Sends a close frame and keeps reading, so that the answer is received. */
    void sendClose(CloseFrame frame) {
        WebSocketCallback<Void> whenWritten = new WebSocketCallback<>() {
            @Override
            public void complete(WebSocketChannel to, Void attachment) {
                to.resumeReceives();
            }

            @Override
            public void onError(WebSocketChannel to, Void attachment, Throwable failure) {
                loop.execute(() -> listener.connectionLost(side));
            }
        };
        // Sent as encoded bytes because Undertow rejects numeric close codes above 1011, which were registered later.
        WebSockets.sendClose(new CloseMessage(frame.encode()), channel, whenWritten);
        channel.resumeReceives();
    }

    /** Ends the connection without a close frame. */
    void disconnect() {
        IoUtils.safeClose(channel);
    }

    /** Records a frame from this side. Returns whether it is within the rate limit; if not, reports a violation. */
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
        return MAX_CONTROL_FRAME_BYTES;
    }

    @Override
    protected long getMaxPongBufferSize() {
        return MAX_CONTROL_FRAME_BYTES;
    }

    @Override
    protected long getMaxCloseBufferSize() {
        return MAX_CONTROL_FRAME_BYTES;
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
            listener.violation(reasonForViolation(CloseReason.INVALID_UTF8));
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
        listener.violation(reasonForViolation(CloseReason.MESSAGE_TOO_BIG));
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
     * Handles a failure reported by Undertow. Undertow reports protocol violations as a {@link WebSocketException} or
     * as a plain exception whose message begins with one of Undertow's message codes ("UT002..."). All other exceptions
     * are connection failures.
     */
    @Override
    protected void onError(WebSocketChannel from, Throwable failure) {
        LOG.log(Level.DEBUG, () -> "failure on session side " + side + ": " + failure);
        String message = String.valueOf(failure.getMessage());
        boolean reportedByUndertow = failure instanceof WebSocketException || message.startsWith("UT");
        if (failure instanceof ClosedChannelException || !reportedByUndertow) {
            listener.connectionLost(side);
        } else {
            listener.violation(reasonForViolation(
                    message.contains("UTF") ? CloseReason.INVALID_UTF8 : CloseReason.PROTOCOL_ERROR));
        }
    }

    private CloseReason reasonForViolation(CloseReason clientReason) {
        return side == SessionSide.ENDPOINT ? CloseReason.ENDPOINT_PROTOCOL_ERROR : clientReason;
    }
}
