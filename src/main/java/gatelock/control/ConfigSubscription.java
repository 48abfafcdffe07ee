package gatelock.control;

import com.fasterxml.jackson.jr.ob.JSON;
import gatelock.config.Backoff;
import gatelock.config.ConfigVersion;
import gatelock.config.Diagnostic;
import gatelock.net.ConnectionPool;
import gatelock.net.EventLoop;
import gatelock.net.OutboundConnection;
import gatelock.state.Counters;
import gatelock.state.LogField;
import gatelock.state.UpstreamResponse;
import java.io.IOException;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.xnio.XnioExecutor;

/**
 * The stream of versions from a control service: one call after the other, each of which tells what this
 * relay holds and
 * how it met the version before, and waits for a later one. The semantics are xDS's, state of the world
 * (version, nonce, ACK
 * as the same request with the new version, NACK with an error's detail, resume by the version held); the
 * framing is
 * ours: docs/design/versioned-configuration.md.
 */
public final class ConfigSubscription {
    private static final System.Logger LOG = System.getLogger("gatelock.control");
    private static final long GRACE_US = 5_000_000;
    private static final int MOST_WORDS = 200;

    private final EventLoop turn;
    private final Counters counters;
    private final ConnectionPool lines;
    private final ConfigUpdater steward;
    private final Backoff backoff;
    private final String relay;
    private final long holdMs;
    private List<InetSocketAddress> services;
    private int at;
    private OutboundConnection line;
    private XnioExecutor.Key again;
    private long askedUs;
    private long heardUs;
    private boolean stopped;
    /** What the next call tells of the version that came last. */
    private String nonce = "";

    private ConfigUpdater.Told told;

    /**
     * @param lines to control services, with room for a whole version in an answer
     * @param services in the order in which they are tried
     * @param holdMs how long a call may wait for a later version
     */
    public ConfigSubscription(
            EventLoop turn,
            Counters counters,
            ConnectionPool lines,
            ConfigUpdater steward,
            Backoff backoff,
            String relay,
            List<InetSocketAddress> services,
            long holdMs) {
        this.turn = turn;
        this.counters = counters;
        this.lines = lines;
        this.steward = steward;
        this.backoff = backoff;
        this.relay = relay;
        this.services = services;
        this.holdMs = holdMs;
    }

    public void start() {
        heardUs = turn.nowUs();
        ask();
    }

    /** Asks at other addresses from now on. */
    public void move(List<InetSocketAddress> to) {
        if (!to.equals(services)) {
            services = to;
            at = 0;
            if (line != null) {
                line.drop();
                line = null;
                askIn(0);
            }
        }
    }

    /** Asks no more; a version on its way is not applied. */
    public void stop() {
        stopped = true;
        if (line != null) {
            line.drop();
        }
        if (again != null) {
            again.remove();
        }
        lines.stop();
    }

    /** When a control service last said anything. */
    public long heardUs() {
        return heardUs;
    }

    public InetSocketAddress service() {
        return services.get(at);
    }

    public int failures() {
        return backoff.failures();
    }

    private void askIn(long us) {
        if (stopped) {
            return;
        }
        if (again != null) {
            again.remove();
        }
        again = turn.in(us, this::ask);
    }

    private void ask() {
        if (stopped) {
            return;
        }
        again = null;
        askedUs = turn.nowUs();
        byte[] body = bytes(says());
        String head = "POST /v1/plans HTTP/1.1\r\nHost: control\r\nContent-Type: "
                + "application/json\r\nContent-Length: "
                + body.length + "\r\n\r\n";
        byte[] first = head.getBytes(StandardCharsets.US_ASCII);
        ByteBuffer call = ByteBuffer.allocate(first.length + body.length)
                .put(first)
                .put(body)
                .flip();
        InetSocketAddress to = service();
        line = lines.call(to, call, holdMs * 1000 + GRACE_US, new Asked(to));
    }

    private Map<String, Object> says() {
        Map<String, Object> says = new LinkedHashMap<>();
        says.put("relay", relay);
        ConfigVersion held = steward.succession().held();
        if (held != null) {
            says.put("epoch", held.epoch().toString());
            says.put("version", held.number());
            says.put("hash", held.hash());
        }
        if (told != null) {
            says.put("nonce", nonce);
            says.put("accepted", told.accepted());
            says.put("answer", told.answer());
            if (!told.findings().isEmpty()) {
                says.put(
                        "findings",
                        told.findings().stream().map(Diagnostic::fields).toList());
            }
        }
        says.put("hold_ms", holdMs);
        return says;
    }

    private static byte[] bytes(Map<String, Object> says) {
        try {
            return JSON.std.asBytes(says);
        } catch (IOException e) {
            throw new IllegalStateException("plain values are always JSON", e);
        }
    }

    /** The service answered; whether it may be believed so far. */
    private boolean heard(UpstreamResponse answer) {
        heardUs = turn.nowUs();
        if (answer.status() == 204) {
            told = null;
            // One that does not hold its calls is asked less often, not in a circle.
            boolean held = heardUs - askedUs >= holdMs * 500;
            if (held) {
                backoff.succeeded();
            }
            askIn(held ? 0 : backoff.failed());
            return true;
        }
        ConfigVersion stamp = stamp(answer);
        if (answer.status() != 200 || stamp == null) {
            failed("answer " + answer.status() + (answer.status() == 200 ? " without epoch, version and nonce" : ""));
            return false;
        }
        nonce = answer.header("X-Plan-Nonce");
        String claimed = answer.header("X-Plan-Hash");
        if (claimed != null && !claimed.equals(stamp.hash())) {
            failed("version " + stamp + " came damaged: its hash is another");
            return false;
        }
        steward.offered(stamp, answer.body(), this::settled);
        return true;
    }

    private static ConfigVersion stamp(UpstreamResponse answer) {
        try {
            String id = answer.header("X-Plan-Epoch-Id");
            long born = Long.parseLong(answer.header("X-Plan-Epoch-Born"));
            long number = Long.parseLong(answer.header("X-Plan-Version"));
            String nonce = answer.header("X-Plan-Nonce");
            boolean odd = id == null
                    || !id.matches("[A-Za-z0-9._-]{1,64}")
                    || nonce == null
                    || nonce.length() > MOST_WORDS
                    || number < 1
                    || born < 0;
            return odd
                    ? null
                    : new ConfigVersion(new ConfigVersion.Epoch(born, id), number, ConfigVersion.hash(answer.body()));
        } catch (NumberFormatException e) {
            return null;
        }
    }

    /**
     * What came of a version is told at once where it is new, and after a while where it tells nothing new.
     */
    private void settled(ConfigUpdater.Told told) {
        this.told = told;
        if (told.isNew()) {
            backoff.succeeded();
            askIn(0);
        } else {
            askIn(backoff.failed());
        }
    }

    private void failed(String why) {
        counters.add("control failed");
        if (backoff.failures() == 0 || backoff.failures() == 4) {
            LOG.log(
                    Level.WARNING,
                    "control service {0}: {1}; {2} stays in force",
                    LogField.of("service", service()),
                    LogField.of("reason", why),
                    LogField.of("version", steward.succession().inForce()));
        }
        at = (at + 1) % services.size();
        askIn(backoff.failed());
    }

    /** One call. */
    private final class Asked implements OutboundConnection.User {
        private final InetSocketAddress to;
        private String unreadable;

        Asked(InetSocketAddress to) {
            this.to = to;
        }

        private boolean current() {
            return !stopped && services.contains(to) && to.equals(service());
        }

        @Override
        public boolean answered(UpstreamResponse answer) {
            return current() && heard(answer);
        }

        @Override
        public void broken(boolean written) {
            if (current()) {
                failed(unreadable != null ? unreadable : written ? "it broke off" : "it can't be reached");
            }
        }

        @Override
        public void unreadable(String why) {
            unreadable = why;
        }

        @Override
        public void tooLong(String why) {
            unreadable = "the version is larger than may be here: " + why;
        }

        @Override
        public void late() {
            if (current()) {
                failed("no answer in time");
            }
        }
    }
}
