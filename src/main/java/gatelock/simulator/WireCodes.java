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
    static final Map<String, DecisionEngine.VoteAnswer> VOTE_ANSWERS = Map.of(
            "done",
            DecisionEngine.VoteAnswer.COUNTED,
            "skipped",
            DecisionEngine.VoteAnswer.MOOT,
            "busy",
            DecisionEngine.VoteAnswer.BUSY,
            "err",
            DecisionEngine.VoteAnswer.ERROR,
            "etimedout",
            DecisionEngine.VoteAnswer.TIMED_OUT);

    /** The phase of a release. */
    static final List<DecisionEngine.Phase> PHASES = List.of(
            DecisionEngine.Phase.TRIAL,
            DecisionEngine.Phase.REVERTING,
            DecisionEngine.Phase.RELEASED,
            DecisionEngine.Phase.WITHDRAWN);

    /** The health of an endpoint. */
    static final List<Endpoint.Health> HEALTH =
            List.of(Endpoint.Health.GONE, Endpoint.Health.READY, Endpoint.Health.DRAINING);

    /** The form of an endpoint list. */
    static final List<DecisionEngine.ListForm> LIST_FORMS = List.of(
            DecisionEngine.ListForm.FAILED,
            DecisionEngine.ListForm.FULL,
            DecisionEngine.ListForm.CACHED,
            DecisionEngine.ListForm.DELTA);

    private static final List<Verdict> VERDICTS = List.of(Verdict.NONE, Verdict.ON, Verdict.HOLD, Verdict.BACK);

    private WireCodes() {}

    /** The number that a verdict has in a {@code BALLOT}. */
    static int verdictCode(Verdict verdict) {
        return VERDICTS.indexOf(verdict);
    }
}
