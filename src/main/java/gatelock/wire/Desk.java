package gatelock.wire;

import gatelock.kept.Counters;
import gatelock.kept.UnitAnswer;
import gatelock.relay.Gate;
import gatelock.relay.Verdict;

import org.xnio.XnioExecutor;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;

/** Speaks with the release desk: votes, each with its answer, and news on a connection of its own. */
public final class Desk {
    private static final System.Logger LOG = System.getLogger("gatelock.wire");
    private static final Map<String, Gate.Phase> PHASES = Map.of("trial", Gate.Phase.TRIAL,
        "rolling_back", Gate.Phase.REVERTING, "released", Gate.Phase.RELEASED, "withdrawn", Gate.Phase.WITHDRAWN);
    private static final String BASE = "/v2/projects/main/";
    /** Signs of life come every second; without any for so long another connection is opened beside. */
    private static final long QUIET_US = 2_500_000;
    private static final long REOPEN_US = 200_000;
    private static final int MOST_LINE = 256 * 1024;

    private final Turn turn;
    private final Counters counters;
    private final Lines lines;
    private final InetSocketAddress address;
    private final long voteWaitUs;
    private Gate gate;
    private Stream standing;
    private Stream second;

    public Desk(Turn turn, Counters counters, Lines lines, InetSocketAddress address, long voteWaitUs) {
        this.turn = turn;
        this.counters = counters;
        this.lines = lines;
        this.address = address;
        this.voteWaitUs = voteWaitUs;
    }

    /** Begins from the news that the configuration holds. */
    public void start(Gate gate, Json news) throws IOException {
        this.gate = gate;
        told(news, Gate.VoteAnswer.NOT_ASKED);
        standing = new Stream();
        standing.begin();
    }

    void vote(int build, int stage, Verdict verdict) {
        counters.add("votes");
        String body = "{\"release\":" + build + ",\"tranche\":" + stage + ",\"ruling\":\""
            + verdict.name().toLowerCase(Locale.ROOT) + "\"}";
        String call = "POST " + BASE + "judgements HTTP/1.1\r\nHost: desk\r\nContent-Type: application/json\r\n"
            + "Content-Length: " + body.length() + "\r\n\r\n" + body;
        lines.call(address, StandardCharsets.US_ASCII.encode(call), voteWaitUs, new Vote());
    }

    private void told(Json news, Gate.VoteAnswer answer) throws IOException {
        Gate.Phase phase = PHASES.get(news.text("mode"));
        if (phase == null) {
            throw new IOException("expected a known mode, found " + news.text("mode"));
        }
        int build = (int) news.whole("release");
        int stage = (int) news.whole("tranche");
        double cap = news.number("exposure");
        gate.news(turn.nowUs(), build, stage, phase, cap, news.wholeOr("old_ms", 0) * 1000, answer);
    }

    /** Says that no news came with a vote's answer. */
    private void without(Gate.VoteAnswer answer) {
        counters.add("votes " + answer.name().toLowerCase(Locale.ROOT));
        gate.news(turn.nowUs(), 0, 0, Gate.Phase.TRIAL, 0, 0, answer);
    }

    /** One vote; one whose answer can't be read may have counted. */
    private final class Vote implements Line.User {
        @Override
        public void answered(UnitAnswer answer) {
            switch (answer.status()) {
                case 200 -> {
                    try {
                        told(Json.read(answer.body()), Gate.VoteAnswer.COUNTED);
                    } catch (IOException e) {
                        LOG.log(Level.WARNING, "release desk: " + e.getMessage());
                        without(Gate.VoteAnswer.TIMED_OUT);
                    }
                }
                case 429 -> without(Gate.VoteAnswer.BUSY);
                case 409 -> without(Gate.VoteAnswer.MOOT);
                case 400, 500 -> without(Gate.VoteAnswer.ERROR);
                default -> without(Gate.VoteAnswer.TIMED_OUT);
            }
        }

        @Override
        public void broken(boolean written) {
            without(written ? Gate.VoteAnswer.TIMED_OUT : Gate.VoteAnswer.ERROR);
        }

        @Override
        public void late() {
            without(Gate.VoteAnswer.TIMED_OUT);
        }
    }

    /** A connection on which news come unasked. Nothing more is ever written to it. */
    private final class Stream implements Line.User {
        private final ByteArrayOutputStream text = new ByteArrayOutputStream(256);
        private Line line;
        private XnioExecutor.Key quiet;

        void begin() {
            counters.add("news connections");
            String call = "GET " + BASE + "changes HTTP/1.1\r\nHost: desk\r\n\r\n";
            quiet = turn.in(QUIET_US, this::quiet);
            line = lines.stream(address, StandardCharsets.US_ASCII.encode(call), this::came, this);
        }

        private void came(byte[] some) {
            for (byte b : some) {
                if (b != '\n') {
                    text.write(b);
                } else {
                    line(text.toByteArray());
                    text.reset();
                }
            }
            if (text.size() > MOST_LINE) {
                text.reset();
            }
        }

        private void line(byte[] line) {
            quiet.remove();
            quiet = turn.in(QUIET_US, this::quiet);
            if (this == second) {
                // The newer one speaks: the older one has served.
                Stream old = standing;
                standing = this;
                second = null;
                old.drop();
            } else if (second != null) {
                Stream newer = second;
                second = null;
                newer.drop();
            }
            try {
                Json said = Json.read(line);
                if ("news".equals(said.textOr("type", ""))) {
                    told(said.object("object"), Gate.VoteAnswer.NOT_ASKED);
                }
            } catch (IOException e) {
                counters.add("news unreadable");
                LOG.log(Level.WARNING, "news: " + e.getMessage());
            }
        }

        /** Guards against a connection that is silent without being closed: another is opened beside it. */
        private void quiet() {
            if (this == second) {
                second = null;
                drop();
                return;
            }
            quiet = turn.in(QUIET_US, this::quiet);
            if (second == null) {
                second = new Stream();
                second.begin();
            }
        }

        private void drop() {
            quiet.remove();
            line.drop();
        }

        @Override
        public void answered(UnitAnswer answer) {
            broken(true);
        }

        @Override
        public void broken(boolean written) {
            quiet.remove();
            if (this == second) {
                second = null;
            } else if (second != null) {
                standing = second;
                second = null;
            } else {
                turn.in(REOPEN_US, () -> {
                    standing = new Stream();
                    standing.begin();
                });
            }
        }
    }
}
