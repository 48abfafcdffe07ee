package gatelock.session;

import java.util.EnumMap;
import java.util.Map;

/**
 * The life of one session between a client and an endpoint. Whatever ends it, and in whatever order things happen,
 * each side that
 * can still hear gets exactly one close; a side that does not answer its close in time is cut off.
 */
public final class Session {
    /** A side that was told has so long to close in turn. */
    static final long ANSWER_US = 1_000_000;

    /** The two ends. */
    public enum Side {
        CLIENT,
        UNIT;

        public Side other() {
            return this == CLIENT ? UNIT : CLIENT;
        }
    }

    /** What the decisions on a session have done. */
    public interface Wires {
        /** Says the one close to a side; messages on their way to it go first. */
        void close(Side side, int code, String reason);

        /** Ends a side's connection without a word: it has closed, or did not answer in time. */
        void cut(Side side);
    }

    private enum End {
        OPEN,
        TOLD,
        GONE
    }

    private final Wires wires;
    private final Map<Side, End> ends = new EnumMap<>(Map.of(Side.CLIENT, End.OPEN, Side.UNIT, End.OPEN));
    private final int place;
    private final String endpoint;
    private final int route;
    private CloseReason cause;
    private long endedUs;

    Session(int place, String endpoint, int route, Wires wires) {
        this.place = place;
        this.endpoint = endpoint;
        this.route = route;
        this.wires = wires;
    }

    public String endpoint() {
        return endpoint;
    }

    public int route() {
        return route;
    }

    int place() {
        return place;
    }

    /** Whether messages still go through. */
    public boolean open() {
        return cause == null;
    }

    /** Whether both sides are gone. */
    public boolean over() {
        return ends.get(Side.CLIENT) == End.GONE && ends.get(Side.UNIT) == End.GONE;
    }

    /** Why it ended, or null. */
    public CloseReason cause() {
        return cause;
    }

    /** The relay ends it. {@code afterMs} is when the client may come back, or 0: that is not its concern. */
    public void end(long nowUs, CloseReason why, long afterMs) {
        if (cause == null) {
            cause = why;
            endedUs = nowUs;
            tell(
                    Side.CLIENT,
                    why.code(Side.CLIENT),
                    afterMs > 0 ? why.reason() + " after " + afterMs + " ms" : why.reason());
            tell(Side.UNIT, why.code(Side.UNIT), why.reason());
        }
    }

    /** A side has closed: with its own close if nothing was said to it before, or in answer to what was. */
    public void closed(long nowUs, Side side, int code, String reason) {
        if (cause == null) {
            cause = CloseReason.CLOSED;
            endedUs = nowUs;
            // Each gets the code that came, where one may be sent on at all.
            int told = sendable(code) ? code : code == 1005 ? 1000 : 1002;
            tell(side, told, "");
            tell(side.other(), told, reason);
        }
        leave(side);
    }

    /** A side's connection has ended. */
    public void lost(long nowUs, Side side) {
        if (ends.get(side) == End.GONE) {
            return;
        }
        ends.put(side, End.GONE);
        end(nowUs, side == Side.CLIENT ? CloseReason.CLIENT_LOST : CloseReason.UNIT_LOST, 0);
    }

    /** Cuts off what did not answer its close in time; tells whether both sides are gone. */
    public boolean due(long nowUs) {
        if (cause != null && nowUs - endedUs >= ANSWER_US) {
            leave(Side.CLIENT);
            leave(Side.UNIT);
        }
        return over();
    }

    private void tell(Side side, int code, String reason) {
        if (ends.get(side) == End.OPEN) {
            ends.put(side, End.TOLD);
            wires.close(side, code, reason);
        }
    }

    private void leave(Side side) {
        if (ends.get(side) != End.GONE) {
            ends.put(side, End.GONE);
            wires.cut(side);
        }
    }

    /** Codes that may stand in a close on the wire (RFC 6455, 7.4.1 and 7.4.2). */
    public static boolean sendable(int code) {
        return code >= 1000 && code <= 1003 || code >= 1007 && code <= 1014 || code >= 3000 && code <= 4999;
    }
}
