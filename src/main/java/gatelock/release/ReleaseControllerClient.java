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
    private static final Map<String, DecisionEngine.ReleasePhase> PHASES_BY_MODE = Map.of(
            "trial",
            DecisionEngine.ReleasePhase.TRIAL,
            "rolling_back",
            DecisionEngine.ReleasePhase.REVERTING,
            "released",
            DecisionEngine.ReleasePhase.RELEASED,
            "withdrawn",
            DecisionEngine.ReleasePhase.WITHDRAWN);

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
                eventLoop, counters, pool, address, news -> applyNews(news, DecisionEngine.VoteResponse.NOT_ASKED));
    }

    /**
     * Starts from the news in the configuration, and subscribes to what comes after.
     *
     * @throws IOException where those news are malformed
     */
    public void start(DecisionEngine engine, JsonObject news) throws IOException {
        this.engine = engine;
        applyNews(news, DecisionEngine.VoteResponse.NOT_ASKED);
        subscription.start();
    }

    /**
     * Uses a release controller at another address from now on. The old news connection is closed only once the new one
     * has delivered something, and votes under way get their result.
     */
    public void changeAddress(InetSocketAddress newAddress) {
        if (!newAddress.equals(address)) {
            pool.invalidate(address);
            address = newAddress;
            subscription.move(newAddress);
        }
    }

    /** Casts this relay's vote on a stage of a build; the decisions learn the result. */
    public void castVote(int build, int stage, Verdict verdict) {
        counters.increment("votes");
        String body = "{\"release\":" + build + ",\"tranche\":" + stage + ",\"ruling\":\""
                + verdict.name().toLowerCase(Locale.ROOT) + "\"}";
        String request = "POST " + BASE_PATH + "judgements HTTP/1.1\r\nHost: desk\r\nContent-Type: application/json\r\n"
                + "Content-Length: " + body.length() + "\r\n\r\n" + body;
        pool.send(address, StandardCharsets.US_ASCII.encode(request), voteTimeoutUs, new VoteResponseHandler());
    }

    private void applyNews(JsonObject news, DecisionEngine.VoteResponse answer) throws IOException {
        String mode = news.text("mode");
        DecisionEngine.ReleasePhase phase = PHASES_BY_MODE.get(mode);
        if (phase == null) {
            throw new MalformedMessageException("expected a known mode, found " + mode);
        }
        int build = news.nonNegativeInt("release");
        int stage = news.nonNegativeInt("tranche");
        double exposure = news.number("exposure");
        long ageUs = news.nonNegativeLongOr("old_ms", 0) * 1000;
        engine.releaseStateUpdated(eventLoop.nowUs(), build, stage, phase, exposure, ageUs, answer);
    }

    /** Notifies the decisions of a vote that was answered without news. */
    private void reportVote(DecisionEngine.VoteResponse answer) {
        counters.increment("votes " + answer.name().toLowerCase(Locale.ROOT));
        engine.releaseStateUpdated(eventLoop.nowUs(), 0, 0, DecisionEngine.ReleasePhase.TRIAL, 0, 0, answer);
    }

    /** Handles the response to one vote. A vote whose response is missing or malformed may have been counted. */
    private final class VoteResponseHandler implements OutboundConnection.ResponseHandler {
        @Override
        public boolean onResponse(UpstreamResponse response) {
            try {
                JsonObject message = JsonObject.parse(response.body());
                switch (response.status()) {
                    case 200 -> applyNews(message, DecisionEngine.VoteResponse.COUNTED);
                    case 429 -> reportVote(DecisionEngine.VoteResponse.BUSY);
                    case 409 -> reportVote(DecisionEngine.VoteResponse.MOOT);
                    case 400, 500 -> reportVote(DecisionEngine.VoteResponse.ERROR);
                    default -> throw new MalformedMessageException("status " + response.status());
                }
                return true;
            } catch (IOException e) {
                LOG.log(Level.WARNING, "release controller, response to a vote: " + e.getMessage());
                reportVote(DecisionEngine.VoteResponse.TIMED_OUT);
                return false;
            }
        }

        @Override
        public void onConnectionLost(boolean written) {
            reportVote(written ? DecisionEngine.VoteResponse.TIMED_OUT : DecisionEngine.VoteResponse.ERROR);
        }

        @Override
        public void onTimeout() {
            reportVote(DecisionEngine.VoteResponse.TIMED_OUT);
        }
    }
}
