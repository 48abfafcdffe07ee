package gatelock.websocket;

import gatelock.api.DecisionEngine;
import gatelock.config.SessionPolicy;
import gatelock.net.EventLoop;
import gatelock.session.CloseReason;
import gatelock.session.Session;
import gatelock.session.Sessions;
import gatelock.state.Counters;
import io.undertow.websockets.core.AbstractReceiveListener;
import io.undertow.websockets.core.BufferedBinaryMessage;
import io.undertow.websockets.core.CloseMessage;
import io.undertow.websockets.core.StreamSourceFrameChannel;
import io.undertow.websockets.core.WebSocketCallback;
import io.undertow.websockets.core.WebSocketChannel;
import io.undertow.websockets.core.WebSocketException;
import io.undertow.websockets.core.WebSockets;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.lang.System.Logger.Level;
import java.nio.ByteBuffer;
import java.nio.channels.ClosedChannelException;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import org.xnio.ChannelListener;
import org.xnio.IoUtils;

/**
 * The two sides of one session. A message is taken in whole, passed on, and only then is the next one of that
 * side read:
 * a side that reads slowly stalls the other, and nobody else.
 */
final class WebSocketProxySession implements Session.Wires {
    private static final System.Logger LOG = System.getLogger("gatelock.websocket");
    private static final long AGAIN_US = 20_000;
    /** A message held back for the cap waits so long at the most. */
    private static final long HELD_US = 2_000_000;
    /** A side that has not read one message by then stalls the session for good. */
    private static final long STALLED_US = 30_000_000;

    private static final long SECOND = 1_000_000;
    private static final int CONTROL_BYTES = 125;
    private static final int READ_BYTES = 4_096;

    private final EventLoop turn;
    private final Counters counters;
    private final DecisionEngine gate;
    private final SessionPolicy terms;
    private final Session session;
    private final Side client;
    private final Side endpoint;
    private Runnable whenOver;
    private long messageUs;
    private long framesFromUs;
    private int frames;

    WebSocketProxySession(
            EventLoop turn,
            Counters counters,
            DecisionEngine gate,
            Sessions sessions,
            SessionPolicy terms,
            String endpointName,
            int route,
            WebSocketChannel client,
            WebSocketChannel endpoint,
            Runnable whenOver) {
        this.turn = turn;
        this.counters = counters;
        this.gate = gate;
        this.terms = terms;
        this.whenOver = whenOver;
        this.client = new Side(Session.Side.CLIENT, client);
        this.endpoint = new Side(Session.Side.UNIT, endpoint);
        this.unreachable = s -> sessions.unreachable(turn.nowUs(), s);
        this.session = sessions.opened(turn.nowUs(), endpointName, route, this);
    }

    private final java.util.function.Consumer<Session> unreachable;

    void begin() {
        messageUs = turn.nowUs();
        client.begin();
        endpoint.begin();
        turn.in(lookUs(), this::look);
    }

    private Side side(Session.Side side) {
        return side == Session.Side.CLIENT ? client : endpoint;
    }

    @Override
    public void close(Session.Side side, int code, String reason) {
        counters.add("session closes " + code);
        byte[] words = reason.getBytes(StandardCharsets.UTF_8);
        ByteBuffer body = ByteBuffer.allocate(2 + words.length)
                .putShort((short) code)
                .put(words)
                .flip();
        WebSocketChannel channel = side(side).channel;
        // From bytes, as Undertow's close refuses codes over 1011, registered since, when given as a number.
        WebSockets.sendClose(new CloseMessage(body), channel, new WebSocketCallback<>() {
            @Override
            public void complete(WebSocketChannel to, Void nothing) {
                to.resumeReceives();
            }

            @Override
            public void onError(WebSocketChannel to, Void nothing, Throwable e) {
                turn.soon(() -> session.lost(turn.nowUs(), side));
            }
        });
        channel.resumeReceives();
    }

    @Override
    public void cut(Session.Side side) {
        IoUtils.safeClose(side(side).channel);
        over();
    }

    private void over() {
        if (session != null && session.over() && whenOver != null) {
            whenOver.run();
            whenOver = null;
        }
    }

    /** Looks for what should have come and has not. */
    private void look() {
        if (!session.open()) {
            over();
            if (!session.over()) {
                turn.in(SECOND, this::look);
            }
            return;
        }
        long nowUs = turn.nowUs();
        if (terms.idleUs() > 0 && nowUs - messageUs >= terms.idleUs()) {
            session.end(nowUs, CloseReason.IDLE, 0);
        } else if (client.stalled(nowUs) || endpoint.stalled(nowUs)) {
            session.end(nowUs, CloseReason.STALLED, 0);
        } else if (nowUs - client.heardUs > 2 * terms.pingUs() + terms.pingUs() / 2) {
            session.end(nowUs, CloseReason.SILENT_CLIENT, 0);
        } else if (nowUs - endpoint.heardUs > 2 * terms.pingUs() + terms.pingUs() / 2) {
            session.end(nowUs, CloseReason.SILENT_UNIT, 0);
        } else {
            client.ping(nowUs);
            endpoint.ping(nowUs);
        }
        turn.in(lookUs(), this::look);
    }

    private long lookUs() {
        long leastUs = terms.idleUs() > 0 ? Math.min(terms.idleUs(), terms.pingUs()) : terms.pingUs();
        return Math.max(50_000, leastUs / 2);
    }

    /** One end of it. */
    private final class Side extends AbstractReceiveListener {
        private final Session.Side side;
        private final WebSocketChannel channel;
        private long heardUs = turn.nowUs();
        private long pingedUs = turn.nowUs();
        private long sendingUs;

        Side(Session.Side side, WebSocketChannel channel) {
            this.side = side;
            this.channel = channel;
        }

        private void begin() {
            channel.addCloseTask(c -> turn.soon(() -> {
                session.lost(turn.nowUs(), side);
                over();
            }));
            channel.getReceiveSetter().set(this);
            channel.resumeReceives();
        }

        private boolean stalled(long nowUs) {
            return sendingUs > 0 && nowUs - sendingUs > STALLED_US;
        }

        private void ping(long nowUs) {
            if (nowUs - Math.max(heardUs, pingedUs) >= terms.pingUs()) {
                pingedUs = nowUs;
                WebSockets.sendPing(ByteBuffer.allocate(0), channel, null);
            }
        }

        private Side other() {
            return side == Session.Side.CLIENT ? endpoint : client;
        }

        /** Counts a frame of a client's; whether that was one too many. */
        private boolean flood() {
            long nowUs = turn.nowUs();
            heardUs = nowUs;
            if (side == Session.Side.UNIT) {
                return false;
            }
            if (nowUs - framesFromUs >= SECOND) {
                framesFromUs = nowUs;
                frames = 0;
            }
            if (++frames <= terms.framesPerS()) {
                return false;
            }
            session.end(nowUs, CloseReason.FLOOD, 0);
            return true;
        }

        @Override
        protected long getMaxPingBufferSize() {
            return CONTROL_BYTES;
        }

        @Override
        protected long getMaxPongBufferSize() {
            return CONTROL_BYTES;
        }

        @Override
        protected long getMaxCloseBufferSize() {
            return CONTROL_BYTES;
        }

        @Override
        protected void onText(WebSocketChannel from, StreamSourceFrameChannel message) {
            new Reader(true).handleEvent(message);
        }

        @Override
        protected void onBinary(WebSocketChannel from, StreamSourceFrameChannel message) {
            new Reader(false).handleEvent(message);
        }

        /**
         * One message on its way in, through all of its fragments. One that is too big is read to its end and
         * thrown away:
         * Undertow's own reader ends the connection with the rest unread, and TCP then takes back the close
         * that was said.
         */
        private final class Reader implements ChannelListener<StreamSourceFrameChannel> {
            private final boolean text;
            private final ByteArrayOutputStream whole = new ByteArrayOutputStream(256);
            private boolean tooBig;

            Reader(boolean text) {
                this.text = text;
            }

            @Override
            public void handleEvent(StreamSourceFrameChannel message) {
                ByteBuffer some = ByteBuffer.allocate(READ_BYTES);
                try {
                    for (int n = message.read(some); n >= 0; n = message.read(some)) {
                        if (n == 0) {
                            message.getReadSetter().set(this);
                            message.resumeReads();
                            return;
                        }
                        add(some.flip());
                        some.clear();
                    }
                } catch (IOException e) {
                    onError(channel, e);
                    return;
                }
                if (!tooBig) {
                    arrived(text, whole.toByteArray());
                }
            }

            private void add(ByteBuffer some) {
                if (whole.size() + some.remaining() > terms.messageBytes()) {
                    if (!tooBig) {
                        session.end(
                                turn.nowUs(),
                                side == Session.Side.UNIT ? CloseReason.UNIT_FAULT : CloseReason.TOO_BIG,
                                0);
                    }
                    tooBig = true;
                    whole.reset();
                } else if (!tooBig) {
                    whole.write(some.array(), some.position(), some.remaining());
                }
            }
        }

        private void arrived(boolean text, byte[] whole) {
            if (text && !utf8(whole)) {
                session.end(turn.nowUs(), side == Session.Side.UNIT ? CloseReason.UNIT_FAULT : CloseReason.INVALID, 0);
            } else if (text) {
                came(() -> WebSockets.sendText(ByteBuffer.wrap(whole), other().channel, other().sent(this)));
            } else {
                came(() -> WebSockets.sendBinary(ByteBuffer.wrap(whole), other().channel, other().sent(this)));
            }
        }

        private boolean utf8(byte[] whole) {
            try {
                StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(whole));
                return true;
            } catch (CharacterCodingException e) {
                return false;
            }
        }

        /** A whole message: it goes on when the decisions let it, and only then is the next one read. */
        private void came(Runnable send) {
            if (!session.open() || flood()) {
                return;
            }
            messageUs = turn.nowUs();
            channel.suspendReceives();
            if (side == Session.Side.CLIENT) {
                ask(send, turn.nowUs(), true);
            } else {
                pass(send);
            }
        }

        private void ask(Runnable send, long cameUs, boolean first) {
            if (!session.open()) {
                return;
            }
            long nowUs = turn.nowUs();
            switch (gate.message(nowUs, session.endpoint(), session.route(), first)) {
                case NOW -> pass(send);
                case NEVER -> unreachable.accept(session);
                case LATER -> {
                    if (nowUs - cameUs >= HELD_US) {
                        session.end(nowUs, CloseReason.NO_ROOM, 500);
                    } else {
                        turn.in(AGAIN_US, () -> ask(send, cameUs, false));
                    }
                }
            }
        }

        private void pass(Runnable send) {
            counters.add(side == Session.Side.CLIENT ? "messages to units" : "messages to clients");
            other().sendingUs = turn.nowUs();
            send.run();
        }

        /** What follows when a message to this side has left: the side it came from may send the next. */
        private WebSocketCallback<Void> sent(Side from) {
            return new WebSocketCallback<>() {
                @Override
                public void complete(WebSocketChannel to, Void nothing) {
                    sendingUs = 0;
                    from.channel.resumeReceives();
                }

                @Override
                public void onError(WebSocketChannel to, Void nothing, Throwable e) {
                    turn.soon(() -> session.lost(turn.nowUs(), side));
                }
            };
        }

        @Override
        protected void onFullPingMessage(WebSocketChannel from, BufferedBinaryMessage message) throws IOException {
            if (flood()) {
                message.getData().close();
            } else {
                super.onFullPingMessage(from, message);
            }
        }

        @Override
        protected void onFullPongMessage(WebSocketChannel from, BufferedBinaryMessage message) throws IOException {
            flood();
            super.onFullPongMessage(from, message);
        }

        @Override
        protected void onFullCloseMessage(WebSocketChannel from, BufferedBinaryMessage message) {
            var pooled = message.getData();
            ByteBuffer body = WebSockets.mergeBuffers(pooled.getResource());
            int code = body.remaining() >= 2 ? body.getShort() & 0xffff : body.remaining() == 0 ? 1005 : 1002;
            String reason = StandardCharsets.UTF_8.decode(body).toString();
            pooled.close();
            session.closed(
                    turn.nowUs(), side, code, reason.getBytes(StandardCharsets.UTF_8).length > 120 ? "" : reason);
            over();
        }

        @Override
        protected void onError(WebSocketChannel from, Throwable e) {
            LOG.log(Level.DEBUG, () -> "session, " + side + ": " + e);
            long nowUs = turn.nowUs();
            if (e instanceof ClosedChannelException
                    || !(e instanceof WebSocketException)
                            && !String.valueOf(e.getMessage()).startsWith("UT")) {
                session.lost(nowUs, side);
            } else {
                boolean utf = String.valueOf(e.getMessage()).contains("UTF");
                session.end(
                        nowUs,
                        side == Session.Side.UNIT
                                ? CloseReason.UNIT_FAULT
                                : utf ? CloseReason.INVALID : CloseReason.PROTOCOL,
                        0);
            }
        }
    }
}
