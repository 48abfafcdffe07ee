package gatelock.simulator;

import gatelock.api.AttemptResult;
import gatelock.api.DecisionEngine;
import gatelock.api.Endpoint;
import gatelock.api.Verdict;
import java.util.List;
import java.util.Map;

/**
 * Maps the words and numbers of the simulator's line protocol to values. In the lists, the index is the number sent.
 */
final class WireCodes {
    /** Maps the {@code result} field of an attempt. */
    static final Map<String, AttemptResult> ATTEMPT_RESULTS = Map.of(
            "done",
            AttemptResult.COMPLETED,
            "err",
            AttemptResult.ERRORED,
            "busy",
            AttemptResult.TURNED_AWAY,
            "etimedout",
            AttemptResult.TIMED_OUT,
            "econnrefused",
            AttemptResult.NOT_CONNECTED,
            "econnreset",
            AttemptResult.BROKEN_OFF,
            "ecanceled",
            AttemptResult.CANCELLED,
            "skipped",
            AttemptResult.NOT_SENT);

    /** Maps the {@code result} field of a vote. */
    static final Map<String, DecisionEngine.VoteResponse> VOTE_RESPONSES = Map.of(
            "done",
            DecisionEngine.VoteResponse.COUNTED,
            "skipped",
            DecisionEngine.VoteResponse.MOOT,
            "busy",
            DecisionEngine.VoteResponse.BUSY,
            "err",
            DecisionEngine.VoteResponse.ERROR,
            "etimedout",
            DecisionEngine.VoteResponse.TIMED_OUT);

    /** The phases of a release, by number. */
    static final List<DecisionEngine.ReleasePhase> PHASES = List.of(
            DecisionEngine.ReleasePhase.TRIAL,
            DecisionEngine.ReleasePhase.REVERTING,
            DecisionEngine.ReleasePhase.RELEASED,
            DecisionEngine.ReleasePhase.WITHDRAWN);

    /** The health states of an endpoint, by number. */
    static final List<Endpoint.Health> HEALTH_STATES =
            List.of(Endpoint.Health.GONE, Endpoint.Health.READY, Endpoint.Health.DRAINING);

    /** The types of an endpoint list update, by number. */
    static final List<DecisionEngine.EndpointUpdateType> ENDPOINT_UPDATE_TYPES = List.of(
            DecisionEngine.EndpointUpdateType.FAILED,
            DecisionEngine.EndpointUpdateType.FULL,
            DecisionEngine.EndpointUpdateType.CACHED,
            DecisionEngine.EndpointUpdateType.DELTA);

    private static final List<Verdict> VERDICTS = List.of(Verdict.NONE, Verdict.ON, Verdict.HOLD, Verdict.BACK);

    private WireCodes() {}

    /** Returns the number of a verdict in a {@code BALLOT} line. */
    static int verdictCode(Verdict verdict) {
        return VERDICTS.indexOf(verdict);
    }
}
