package gatelock.release;

import gatelock.api.DecisionEngine;
import gatelock.api.Verdict;
import gatelock.net.ConnectionPool;
import gatelock.net.EventLoop;
import gatelock.net.JsonObject;
import gatelock.net.OutboundConnection;
import gatelock.state.Counters;
import gatelock.state.UpstreamResponse;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import org.xnio.XnioExecutor;

/** Speaks with the release controller: votes, each with its answer, and news on a connection of its own. */
public final class ReleaseControllerClient {
    private static final System.Logger LOG = System.getLogger("gatelock.release");
    private static final Map<String, DecisionEngine.Phase> PHASES = Map.of(
            "trial",
            DecisionEngine.Phase.TRIAL,
            "rolling_back",
            DecisionEngine.Phase.REVERTING,
            "released",
            DecisionEngine.Phase.RELEASED,
            "withdrawn",
            DecisionEngine.Phase.WITHDRAWN);
    private static final String BASE = "/v2/projects/main/";
    /** Signs of life come every second; without any for so long another connection is opened beside. */
    private static final long QUIET_US = 2_500_000;

    private static final long REOPEN_US = 200_000;
    private static final int MOST_LINE = 256 * 1024;

    private final EventLoop turn;
    private final Counters counters;
    private final ConnectionPool lines;
    private final long voteWaitUs;
    private InetSocketAddress address;
    private DecisionEngine gate;
    private Stream standing;
    private Stream second;

    public ReleaseControllerClient(
            EventLoop turn, Counters counters, ConnectionPool lines, InetSocketAddress address, long voteWaitUs) {
        this.turn = turn;
        this.counters = counters;
        this.lines = lines;
        this.address = address;
        this.voteWaitUs = voteWaitUs;
    }

    /** Begins from the news that the configuration holds. */
    public void start(DecisionEngine gate, JsonObject news) throws IOException {
        this.gate = gate;
        told(news, DecisionEngine.VoteAnswer.NOT_ASKED);
        standing = new Stream().begin();
    }

    /**
     * Speaks with a release controller at another address from now on. The news from there stand before the old ones go, and
     * votes under way get their ending.
     */
    public void move(InetSocketAddress to) {
        if (!to.equals(address)) {
            lines.close(address);
            address = to;
            if (second != null) {
                second.drop();
                second = null;
            }
            standing.replace();
        }
    }

    public void vote(int build, int stage, Verdict verdict) {
        counters.add("votes");
        String body = "{\"release\":" + build + ",\"tranche\":" + stage + ",\"ruling\":\""
                + verdict.name().toLowerCase(Locale.ROOT) + "\"}";
        String call = "POST " + BASE + "judgements HTTP/1.1\r\nHost: desk\r\nContent-Type: application/json\r\n"
                + "Content-Length: " + body.length() + "\r\n\r\n" + body;
        lines.call(address, StandardCharsets.US_ASCII.encode(call), voteWaitUs, new Vote());
    }

    private void told(JsonObject news, DecisionEngine.VoteAnswer answer) throws IOException {
        DecisionEngine.Phase phase = PHASES.get(news.text("mode"));
        if (phase == null) {
            throw new IOException("expected a known mode, found " + news.text("mode"));
        }
        int build = news.count("release");
        int stage = news.count("tranche");
        double cap = news.number("exposure");
        long agoUs = news.wholeOr("old_ms", 0) * 1000;
        gate.news(turn.nowUs(), build, stage, phase, cap, agoUs, answer);
    }

    /** Says that no news came with a vote's answer. */
    private void without(DecisionEngine.VoteAnswer answer) {
        counters.add("votes " + answer.name().toLowerCase(Locale.ROOT));
        gate.news(turn.nowUs(), 0, 0, DecisionEngine.Phase.TRIAL, 0, 0, answer);
    }

    /** One vote; one whose answer can't be read may have counted. */
    private final class Vote implements OutboundConnection.User {
        @Override
        public boolean answered(UpstreamResponse answer) {
            try {
                JsonObject said = JsonObject.read(answer.body());
                switch (answer.status()) {
                    case 200 -> told(said, DecisionEngine.VoteAnswer.COUNTED);
                    case 429 -> without(DecisionEngine.VoteAnswer.BUSY);
                    case 409 -> without(DecisionEngine.VoteAnswer.MOOT);
                    case 400, 500 -> without(DecisionEngine.VoteAnswer.ERROR);
                    default -> throw new IOException("status " + answer.status());
                }
                return true;
            } catch (IOException e) {
                LOG.log(Level.WARNING, "release desk: " + e.getMessage());
                without(DecisionEngine.VoteAnswer.TIMED_OUT);
                return false;
            }
        }

        @Override
        public void broken(boolean written) {
            without(written ? DecisionEngine.VoteAnswer.TIMED_OUT : DecisionEngine.VoteAnswer.ERROR);
        }

        @Override
        public void late() {
            without(DecisionEngine.VoteAnswer.TIMED_OUT);
        }
    }

    /** A connection on which news come unasked. Nothing more is ever written to it. */
    private final class Stream implements OutboundConnection.User {
        private final ByteArrayOutputStream text = new ByteArrayOutputStream(256);
        private final InetSocketAddress where = address;
        private OutboundConnection line;
        private XnioExecutor.Key quiet;
        private boolean over;

        Stream begin() {
            counters.add("news connections");
            String call = "GET " + BASE + "changes HTTP/1.1\r\nHost: desk\r\n\r\n";
            quiet = turn.in(QUIET_US, this::quiet);
            line = lines.stream(where, StandardCharsets.US_ASCII.encode(call), this::came, this);
            return this;
        }

        private void came(byte[] some) {
            for (byte b : some) {
                if (over) {
                    return;
                }
                if (b != '\n') {
                    text.write(b);
                } else {
                    line(text.toByteArray());
                    text.reset();
                }
            }
            if (text.size() > MOST_LINE) {
                spoilt("a line without end");
            }
        }

        private void line(byte[] line) {
            try {
                JsonObject said = JsonObject.read(line);
                heard();
                if ("news".equals(said.textOr("type", ""))) {
                    told(said.object("object"), DecisionEngine.VoteAnswer.NOT_ASKED);
                }
            } catch (IOException e) {
                spoilt(e.getMessage());
            }
        }

        /** It speaks: of two connections, the one that does is kept, and the newer of two that do. */
        private void heard() {
            quiet.remove();
            quiet = turn.in(QUIET_US, this::quiet);
            if (this == second) {
                Stream old = standing;
                standing = this;
                second = null;
                old.drop();
            } else if (second != null && where.equals(address)) {
                second.drop();
                second = null;
            }
        }

        /**
         * Guards against a release controller whose words can't be read: the connection is of no further use, and another
         * takes its place. Should hold against anything but news; could harm where a release controller says more than news.
         */
        private void spoilt(String why) {
            counters.add("news unreadable");
            LOG.log(Level.WARNING, "news: " + why);
            over = true;
            turn.soon(() -> {
                if (this == second) {
                    drop();
                    lost();
                } else {
                    replace();
                }
            });
        }

        /** Guards against a connection that is silent without being closed: another is opened beside it. */
        private void quiet() {
            if (this == second) {
                drop();
                lost();
            } else {
                quiet = turn.in(QUIET_US, this::quiet);
                replace();
            }
        }

        /** Opens another beside it, unless one is on its way. */
        private void replace() {
            if (this == standing && second == null) {
                second = new Stream().begin();
            }
        }

        private void lost() {
            over = true;
            second = this == second ? null : second;
            if (standing.over && second == null) {
                turn.in(REOPEN_US, standing::replace);
            }
        }

        private void drop() {
            quiet.remove();
            line.drop();
        }

        @Override
        public boolean answered(UpstreamResponse answer) {
            broken(true);
            return false;
        }

        @Override
        public void broken(boolean written) {
            quiet.remove();
            lost();
        }
    }
}
