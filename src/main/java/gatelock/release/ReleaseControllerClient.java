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

/**
 * Client of the release controller: casts votes, and passes the release state of the newest build to the decision
 * engine.
 */
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
    private final UpdateSubscription subscription;
    private InetSocketAddress address;
    private DecisionEngine engine;

    /**
     * Creates a client that does nothing until {@link #start}.
     *
     * @param pool the connections to the release controller
     * @param voteTimeoutUs the time within which the response to a vote has to arrive
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
        this.subscription = new UpdateSubscription(
                eventLoop,
                counters,
                pool,
                address,
                update -> applyUpdate(update, DecisionEngine.VoteResponse.NOT_ASKED));
    }

    /**
     * Starts with the release state from the configuration, and subscribes to later updates.
     *
     * @throws IOException if that state is malformed
     */
    public void start(DecisionEngine engine, JsonObject initialState) throws IOException {
        this.engine = engine;
        applyUpdate(initialState, DecisionEngine.VoteResponse.NOT_ASKED);
        subscription.start();
    }

    /**
     * Uses a release controller at another address from now on. The old update connection is closed only once the new
     * one has received a line, and votes in progress still receive their result.
     */
    public void changeAddress(InetSocketAddress newAddress) {
        if (!newAddress.equals(address)) {
            pool.invalidate(address);
            address = newAddress;
            subscription.changeAddress(newAddress);
        }
    }

    /** Casts the vote of this relay on a stage of a build. The result is reported to the decision engine. */
    public void castVote(int build, int stage, Verdict verdict) {
        counters.increment("votes");
        String body = "{\"release\":" + build + ",\"tranche\":" + stage + ",\"ruling\":\""
                + verdict.name().toLowerCase(Locale.ROOT) + "\"}";
        String request = "POST " + BASE_PATH + "judgements HTTP/1.1\r\nHost: desk\r\nContent-Type: application/json\r\n"
                + "Content-Length: " + body.length() + "\r\n\r\n" + body;
        pool.send(address, StandardCharsets.US_ASCII.encode(request), voteTimeoutUs, new VoteResponseHandler());
    }

    private void applyUpdate(JsonObject update, DecisionEngine.VoteResponse voteResponse) throws IOException {
        String mode = update.text("mode");
        DecisionEngine.ReleasePhase phase = PHASES_BY_MODE.get(mode);
        if (phase == null) {
            throw new MalformedMessageException("unknown mode " + mode);
        }
        int build = update.nonNegativeInt("release");
        int stage = update.nonNegativeInt("tranche");
        double exposure = update.number("exposure");
        long ageUs = update.nonNegativeLongOr("old_ms", 0) * 1000;
        engine.releaseStateUpdated(eventLoop.nowUs(), build, stage, phase, exposure, ageUs, voteResponse);
    }

    /** Notifies the decision engine of a vote whose response contained no release state. */
    private void reportVote(DecisionEngine.VoteResponse voteResponse) {
        counters.increment("votes " + voteResponse.name().toLowerCase(Locale.ROOT));
        engine.releaseStateUpdated(eventLoop.nowUs(), 0, 0, DecisionEngine.ReleasePhase.TRIAL, 0, 0, voteResponse);
    }

    /** Handles the response to one vote. If the response is missing or malformed, the vote may have been counted. */
    private final class VoteResponseHandler implements OutboundConnection.ResponseHandler {
        @Override
        public boolean onResponse(UpstreamResponse response) {
            try {
                JsonObject message = JsonObject.parse(response.body());
                switch (response.status()) {
                    case 200 -> applyUpdate(message, DecisionEngine.VoteResponse.COUNTED);
                    case 429 -> reportVote(DecisionEngine.VoteResponse.BUSY);
                    case 409 -> reportVote(DecisionEngine.VoteResponse.MOOT);
                    case 400, 500 -> reportVote(DecisionEngine.VoteResponse.ERROR);
                    default -> throw new MalformedMessageException("status " + response.status());
                }
                return true;
            } catch (IOException e) {
                LOG.log(Level.WARNING, "invalid response to a vote from the release controller: " + e.getMessage());
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
