package gatelock.net;

import gatelock.state.UpstreamResponse;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import org.xnio.IoFuture;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.XnioExecutor;

/**
 * A connection that this relay opens, with one call on it at a time. It sends nothing twice, and it sees
 * whether a call's last byte was written: what ended before that has never run.
 */
public final class OutboundConnection {
    /**
     * Guards against an answer of many megabytes that comes faster than it is read, and would hold the thread and
     * with it all requests for as long: after so many pieces others have their turn. Could harm nothing but the answer,
     * which goes on with the thread's next round.
     */
    private static final int PIECES_A_TURN = 4;

    private static final OptionMap OPTIONS = OptionMap.create(Options.TCP_NODELAY, true);

    /** Whoever made a call; hears once how it ended, never while the call is being made. */
    public interface User {
        /** Whether the call may still go: asked before its first byte, if its connection had to come up. */
        default boolean mayGo() {
            return true;
        }

        /** Whether it reads as what was asked for; if not, the connection serves no more. */
        boolean answered(UpstreamResponse answer);

        /** No whole, readable answer came; {@code written}: the last byte of the call was written before. */
        void broken(boolean written);

        /** The answer can't be read, for this reason; {@link #broken} follows. */
        default void unreadable(String why) {}

        /** The answer is longer than is taken, as told; {@link #broken} follows. */
        default void tooLong(String why) {}

        /** The time for the call was over first, and it was given up. */
        default void late() {}
    }

    /**
     * How long a call may take, in microseconds: until its answer begins, then from one piece of it to the next,
     * and in all; 0: as long as it likes.
     */
    public record Patience(long beginUs, long pieceUs, long wholeUs) {
        /** All of the answer within this time. */
        static Patience of(long us) {
            return new Patience(us, 0, us);
        }
    }

    private final EventLoop turn;
    private final ConnectionPool home;
    private final InetSocketAddress address;
    private StreamConnection connection;
    private IoFuture<StreamConnection> opening;
    private XnioExecutor.Key openLimit;
    private XnioExecutor.Key callLimit;
    private ByteBuffer call;
    private ResponseReader reader;
    private BodyConsumer parts;
    private Patience patience;
    private long beganUs;
    private long cameUs;
    private User user;
    private boolean written;
    private boolean ended;

    OutboundConnection(EventLoop turn, ConnectionPool home, InetSocketAddress address) {
        this.turn = turn;
        this.home = home;
        this.address = address;
    }

    InetSocketAddress address() {
        return address;
    }

    /** Opens the connection and makes the first call on it. */
    void open(long openUs, ByteBuffer call, Patience patience, BodyConsumer parts, User user) {
        begin(call, patience, parts, user);
        openLimit = turn.in(openUs, () -> {
            if (connection == null) {
                end();
            }
        });
        opening = turn.thread().openStreamConnection(address, this::up, OPTIONS);
        opening.addNotifier(
                new IoFuture.HandlingNotifier<StreamConnection, Void>() {
                    @Override
                    public void handleFailed(IOException e, Void nothing) {
                        turn.soon(OutboundConnection.this::end);
                    }
                },
                null);
    }

    /** Makes one more call on a connection that stands idle. */
    void call(ByteBuffer call, Patience patience, BodyConsumer parts, User user) {
        begin(call, patience, parts, user);
        write();
    }

    private void begin(ByteBuffer call, Patience patience, BodyConsumer parts, User user) {
        if (patience.beginUs > 0) {
            callLimit = turn.in(patience.beginUs, () -> overdue(user));
        }
        this.call = call;
        this.user = user;
        this.parts = parts;
        this.patience = patience;
        beganUs = turn.nowUs();
        cameUs = 0;
        reader = new ResponseReader(parts, home.mostBody());
        written = false;
    }

    /**
     * The time for a call is over. Guards against a thread that is late itself: what is due runs before what
     * can be read, so the answer may lie there. Should hold for any call; could harm nothing, as it came in
     * time or nearly so, and whoever made the call judges that.
     */
    private void overdue(User caller) {
        if (connection != null && written) {
            read();
        }
        if (user != caller) {
            return;
        }
        long leftUs = cameUs == 0 ? 0 : Math.min(cameUs + patience.pieceUs, beganUs + patience.wholeUs) - turn.nowUs();
        if (leftUs > 0) {
            callLimit = turn.in(leftUs, () -> overdue(caller));
        } else {
            drop();
            caller.late();
        }
    }

    private void up(StreamConnection opened) {
        if (ended) {
            IoUtils.safeClose(opened);
            return;
        }
        openLimit.remove();
        connection = opened;
        connection.getSinkChannel().setWriteListener(c -> write());
        connection.getSourceChannel().setReadListener(c -> read());
        connection.getSourceChannel().resumeReads();
        home.isUp(this);
        if (goesOn()) {
            write();
        }
    }

    /**
     * Asks again whether a call may go of which no byte has gone, and ends it if not. Guards against a party
     * that left, came back as another process or lost its share while a connection to it came up; should hold
     * however long that takes. Could harm nothing: such a call has never run, and its user hears so.
     */
    boolean goesOn() {
        if (user != null && !user.mayGo()) {
            end();
        }
        return !ended;
    }

    private void write() {
        if (ended || written) {
            return;
        }
        try {
            while (call.hasRemaining()) {
                if (connection.getSinkChannel().write(call) == 0) {
                    connection.getSinkChannel().resumeWrites();
                    return;
                }
            }
            written = true;
            connection.getSinkChannel().suspendWrites();
        } catch (IOException e) {
            turn.soon(this::end);
        }
    }

    private void read() {
        try {
            for (int pieces = 0; !ended && (parts == null || pieces < PIECES_A_TURN); pieces++) {
                ByteBuffer in = turn.reading();
                int n = connection.getSourceChannel().read(in);
                if (n == 0) {
                    return;
                }
                if (n < 0 || user == null) {
                    // An end, or bytes that nobody asked for on an idle connection.
                    end();
                    return;
                }
                in.flip();
                if (patience.pieceUs > 0) {
                    cameUs = turn.nowUs();
                }
                reader.read(in);
                if (reader.whole() && !written) {
                    // What answers a call that has not come whole answers another, or none.
                    throw new MalformedResponseException("an answer before the call was whole");
                }
                if (reader.whole()) {
                    finish(reader.lasting() && written && !in.hasRemaining());
                    return;
                }
            }
        } catch (MalformedResponseException e) {
            home.unreadable(address, e);
            if (user != null) {
                if (e instanceof ResponseTooLongException) {
                    user.tooLong(e.getMessage());
                } else {
                    user.unreadable(e.getMessage());
                }
            }
            end();
        } catch (IOException e) {
            end();
        } catch (RuntimeException | AssertionError e) {
            turn.unexpected(e);
            end();
        }
    }

    /** Whether an idle connection still stands, as far as can be told without writing to it. */
    boolean stands() {
        try {
            return !ended && connection.getSourceChannel().read(turn.reading()) == 0;
        } catch (IOException e) {
            return false;
        }
    }

    private void finish(boolean keep) {
        User caller = callOver();
        if (caller.answered(reader.answer()) && keep) {
            home.idle(this);
        } else {
            end();
        }
    }

    /** Gives the call up, or the idle connection; whoever made the call hears nothing more of it. */
    public void drop() {
        callOver();
        end();
    }

    /** Ends the call, if one is on; whoever made it is to hear of it at most once from here. */
    private User callOver() {
        if (callLimit != null) {
            callLimit.remove();
            callLimit = null;
        }
        User caller = user;
        user = null;
        return caller;
    }

    private void end() {
        if (ended) {
            return;
        }
        ended = true;
        openLimit.remove();
        if (connection != null) {
            IoUtils.safeClose(connection);
        } else if (opening != null) {
            opening.cancel();
        }
        home.gone(this);
        User caller = callOver();
        if (caller != null) {
            caller.broken(written);
        }
    }
}
