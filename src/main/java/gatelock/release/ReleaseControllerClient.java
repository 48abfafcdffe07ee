package gatelock.release;

import gatelock.api.DecisionEngine;
import gatelock.api.Verdict;
import gatelock.net.ConnectionPool;
import gatelock.net.EventLoop;
import gatelock.net.JsonObject;
import gatelock.net.MalformedMessageException;
import gatelock.net.OutboundConnection;
import gatelock.state.Counters;
import gatelock.state.UpstreamResponse;
import java.io.IOException;
import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;

/** Client of the release controller: casts votes, and passes the state of the newest build on to the decisions. */
public final class ReleaseControllerClient {
    /** The path of the release controller's API. */
    static final String BASE_PATH = "/v2/projects/main/";

    private static final System.Logger LOG = System.getLogger("gatelock.release");
    private static final Map<String, DecisionEngine.Phase> PHASES_BY_MODE = Map.of(
            "trial",
            DecisionEngine.Phase.TRIAL,
            "rolling_back",
            DecisionEngine.Phase.REVERTING,
            "released",
            DecisionEngine.Phase.RELEASED,
            "withdrawn",
            DecisionEngine.Phase.WITHDRAWN);

    private final EventLoop eventLoop;
    private final Counters counters;
    private final ConnectionPool pool;
    private final long voteTimeoutUs;
    private final NewsSubscription subscription;
    private InetSocketAddress address;
    private DecisionEngine engine;

    /**
     * Creates a client that does nothing until {@link #start}.
     *
     * @param pool the connections to the release controller
     * @param voteTimeoutUs how long the response to a vote may take
     */
    public ReleaseControllerClient(
            EventLoop eventLoop,
            Counters counters,
            ConnectionPool pool,
            InetSocketAddress address,
            long voteTimeoutUs) {
        this.eventLoop = eventLoop;
        this.counters = counters;
        this.pool = pool;
        this.address = address;
        this.voteTimeoutUs = voteTimeoutUs;
        this.subscription = new NewsSubscription(
                eventLoop, counters, pool, address, news -> applyNews(news, DecisionEngine.VoteAnswer.NOT_ASKED));
    }

    /**
     * Starts from the news in the configuration, and subscribes to what comes after.
     *
     * @throws IOException where those news are malformed
     */
    public void start(DecisionEngine engine, JsonObject news) throws IOException {
        this.engine = engine;
        applyNews(news, DecisionEngine.VoteAnswer.NOT_ASKED);
        subscription.start();
    }

    /**
     * Uses a release controller at another address from now on. The old news connection is closed only once the new one
     * has delivered something, and votes under way get their result.
     */
    public void move(InetSocketAddress newAddress) {
        if (!newAddress.equals(address)) {
            pool.close(address);
            address = newAddress;
            subscription.move(newAddress);
        }
    }

    /** Casts this relay's vote on a stage of a build; the decisions learn the result. */
    public void vote(int build, int stage, Verdict verdict) {
        counters.add("votes");
        String body = "{\"release\":" + build + ",\"tranche\":" + stage + ",\"ruling\":\""
                + verdict.name().toLowerCase(Locale.ROOT) + "\"}";
        String request = "POST " + BASE_PATH + "judgements HTTP/1.1\r\nHost: desk\r\nContent-Type: application/json\r\n"
                + "Content-Length: " + body.length() + "\r\n\r\n" + body;
        pool.call(address, StandardCharsets.US_ASCII.encode(request), voteTimeoutUs, new VoteResponseHandler());
    }

    private void applyNews(JsonObject news, DecisionEngine.VoteAnswer answer) throws IOException {
        String mode = news.text("mode");
        DecisionEngine.Phase phase = PHASES_BY_MODE.get(mode);
        if (phase == null) {
            throw new MalformedMessageException("expected a known mode, found " + mode);
        }
        int build = news.count("release");
        int stage = news.count("tranche");
        double exposure = news.number("exposure");
        long ageUs = news.wholeOr("old_ms", 0) * 1000;
        engine.news(eventLoop.nowUs(), build, stage, phase, exposure, ageUs, answer);
    }

    /** Notifies the decisions of a vote that was answered without news. */
    private void reportVote(DecisionEngine.VoteAnswer answer) {
        counters.add("votes " + answer.name().toLowerCase(Locale.ROOT));
        engine.news(eventLoop.nowUs(), 0, 0, DecisionEngine.Phase.TRIAL, 0, 0, answer);
    }

    /** Handles the response to one vote. A vote whose response is missing or malformed may have been counted. */
    private final class VoteResponseHandler implements OutboundConnection.User {
        @Override
        public boolean answered(UpstreamResponse response) {
            try {
                JsonObject message = JsonObject.read(response.body());
                switch (response.status()) {
                    case 200 -> applyNews(message, DecisionEngine.VoteAnswer.COUNTED);
                    case 429 -> reportVote(DecisionEngine.VoteAnswer.BUSY);
                    case 409 -> reportVote(DecisionEngine.VoteAnswer.MOOT);
                    case 400, 500 -> reportVote(DecisionEngine.VoteAnswer.ERROR);
                    default -> throw new MalformedMessageException("status " + response.status());
                }
                return true;
            } catch (IOException e) {
                LOG.log(Level.WARNING, "release controller, response to a vote: " + e.getMessage());
                reportVote(DecisionEngine.VoteAnswer.TIMED_OUT);
                return false;
            }
        }

        @Override
        public void broken(boolean written) {
            reportVote(written ? DecisionEngine.VoteAnswer.TIMED_OUT : DecisionEngine.VoteAnswer.ERROR);
        }

        @Override
        public void late() {
            reportVote(DecisionEngine.VoteAnswer.TIMED_OUT);
        }
    }
}
