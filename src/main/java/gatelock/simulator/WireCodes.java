package gatelock.simulator;

import gatelock.api.AttemptResult;
import gatelock.api.DecisionEngine;
import gatelock.api.Endpoint;
import gatelock.api.Verdict;
import java.util.List;
import java.util.Map;

/** What the words and numbers of the simulator's line protocol stand for. A list's index is the number on the wire. */
final class WireCodes {
    /** The {@code result} of an attempt. */
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

    /** The {@code result} of a vote. */
    static final Map<String, DecisionEngine.VoteResponse> VOTE_ANSWERS = Map.of(
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

    /** The phase of a release. */
    static final List<DecisionEngine.ReleasePhase> PHASES = List.of(
            DecisionEngine.ReleasePhase.TRIAL,
            DecisionEngine.ReleasePhase.REVERTING,
            DecisionEngine.ReleasePhase.RELEASED,
            DecisionEngine.ReleasePhase.WITHDRAWN);

    /** The health of an endpoint. */
    static final List<Endpoint.Health> HEALTH =
            List.of(Endpoint.Health.GONE, Endpoint.Health.READY, Endpoint.Health.DRAINING);

    /** The form of an endpoint list. */
    static final List<DecisionEngine.EndpointUpdateType> LIST_FORMS = List.of(
            DecisionEngine.EndpointUpdateType.FAILED,
            DecisionEngine.EndpointUpdateType.FULL,
            DecisionEngine.EndpointUpdateType.CACHED,
            DecisionEngine.EndpointUpdateType.DELTA);

    private static final List<Verdict> VERDICTS = List.of(Verdict.NONE, Verdict.ON, Verdict.HOLD, Verdict.BACK);

    private WireCodes() {}

    /** The number that a verdict has in a {@code BALLOT}. */
    static int verdictCode(Verdict verdict) {
        return VERDICTS.indexOf(verdict);
    }
}
