package gatelock.net;

import gatelock.state.Counters;
import gatelock.state.IdleConnections;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The connections that this relay opens to one kind of party, kept between calls. */
public final class ConnectionPool {
    private static final System.Logger LOG = System.getLogger("gatelock.net");
    private final EventLoop turn;
    private final Counters counters;
    private final IdleConnections<OutboundConnection> idle;
    private final Map<InetSocketAddress, Set<OutboundConnection>> comingUp = new HashMap<>();
    private final long openWithinUs;
    private final long idleUs;
    private final long restUs;
    private final int most;
    private final int mostBody;
    private int open;
    private boolean stopped;

    /**
     * @param openWithinUs a connection that is not up by then has failed
     * @param idleUs how long a connection is kept without a call
     * @param restUs how long a connection is without a call before the next. Guards against bytes behind an
     *     answer
     *     that would be read as the next call's: what comes meanwhile ends the connection. Should hold
     *     against any
     *     late copy or noise; costs some connections more under load
     * @param most how many there may be; beyond that one without a call goes for each that is opened
     */
    public ConnectionPool(EventLoop turn, Counters counters, long openWithinUs, long idleUs, long restUs, int most) {
        this(turn, counters, openWithinUs, idleUs, restUs, most, ResponseReader.MOST_BODY);
    }

    /** The same with answers of a size of their own, as the protocol's bound is only for requests. */
    public ConnectionPool(
            EventLoop turn, Counters counters, long openWithinUs, long idleUs, long restUs, int most, int mostBody) {
        this.mostBody = mostBody;
        this.turn = turn;
        this.counters = counters;
        this.openWithinUs = openWithinUs;
        this.idleUs = idleUs;
        this.restUs = restUs;
        this.most = most;
        this.idle = new IdleConnections<>(most, OutboundConnection::drop);
        turn.soon(this::sweep);
    }

    private void sweep() {
        idle.closeBefore(stopped ? Long.MAX_VALUE : turn.nowUs() - idleUs);
        if (!stopped) {
            turn.in(Math.min(1_000_000, idleUs / 4), this::sweep);
        }
    }

    int mostBody() {
        return mostBody;
    }

    /** Closes the idle ones; nothing is called any more. */
    public void stop() {
        stopped = true;
        sweep();
    }

    /** Makes one call, on a connection that stands or on a new one; it is given up after {@code callUs}. */
    public OutboundConnection call(
            InetSocketAddress address, ByteBuffer call, long callUs, OutboundConnection.User user) {
        return call(address, call, OutboundConnection.Patience.of(callUs), null, user);
    }

    /** The same of an answer whose body {@code parts} takes as it comes, and which may take its time. */
    public OutboundConnection call(
            InetSocketAddress address,
            ByteBuffer call,
            OutboundConnection.Patience patience,
            BodyConsumer parts,
            OutboundConnection.User user) {
        long restedUs = turn.nowUs() - restUs;
        for (OutboundConnection line = idle.take(address, restedUs);
                line != null;
                line = idle.take(address, restedUs)) {
            if (line.stands()) {
                line.call(call, patience, parts, user);
                return line;
            }
            line.drop();
        }
        return open(address, call, patience, parts, user);
    }

    /** Makes one call of any length on a connection of its own; {@code parts} takes its body as it comes. */
    public OutboundConnection stream(
            InetSocketAddress address, ByteBuffer call, BodyConsumer parts, OutboundConnection.User user) {
        return open(address, call, OutboundConnection.Patience.of(0), parts, user);
    }

    private OutboundConnection open(
            InetSocketAddress address,
            ByteBuffer call,
            OutboundConnection.Patience patience,
            BodyConsumer parts,
            OutboundConnection.User user) {
        counters.add("connections opened");
        if (open >= most) {
            idle.closeOldest();
        }
        open++;
        OutboundConnection line = new OutboundConnection(turn, this, address);
        comingUp.computeIfAbsent(address, a -> new LinkedHashSet<>()).add(line);
        line.open(openWithinUs, call, patience, parts, user);
        return line;
    }

    /**
     * A party has left, drains or came back as another process: closes the idle ones to it, and whoever waits
     * for one to come up is asked whether its call may still go.
     */
    public void close(InetSocketAddress address) {
        idle.closeAll(address);
        List.copyOf(comingUp.getOrDefault(address, Set.of())).forEach(OutboundConnection::goesOn);
    }

    void isUp(OutboundConnection line) {
        Set<OutboundConnection> there = comingUp.get(line.address());
        if (there != null && there.remove(line) && there.isEmpty()) {
            comingUp.remove(line.address());
        }
    }

    void idle(OutboundConnection line) {
        idle.put(turn.nowUs(), line.address(), line);
        if (stopped) {
            sweep();
        }
    }

    void unreadable(InetSocketAddress address, MalformedResponseException e) {
        counters.add("answers unreadable");
        LOG.log(Level.DEBUG, () -> "answer from " + address + ": " + e.getMessage());
    }

    @Override
    public String toString() {
        return open + " connections, " + idle.size() + " idle";
    }

    void gone(OutboundConnection line) {
        open--;
        isUp(line);
        idle.remove(line);
    }
}
