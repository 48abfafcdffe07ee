package gatelock.simulator;

import gatelock.api.AttemptResult;
import gatelock.api.DecisionActions;
import gatelock.api.DecisionEngine;
import gatelock.api.Endpoint;
import gatelock.api.LoadReport;
import gatelock.api.RequestHandle;
import gatelock.decision.ReleaseGate;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/** One hosted relay: its decision engine and its requests in flight. Handles the lines addressed to this relay. */
final class HostedRelay {
    private static final int NS_PER_US = 1_000;

    private final DecisionActions actions;
    private final List<List<Endpoint>> endpointLists;
    private final Map<String, RequestHandle> inFlight = new HashMap<>();
    /** The decision engine; null while the relay is stopped. */
    private DecisionEngine engine;

    /**
     * Creates a relay that is stopped.
     *
     * @param actions carries out the decisions of the engine
     * @param endpointLists the endpoint lists received so far, by number; shared with the host
     */
    HostedRelay(DecisionActions actions, List<List<Endpoint>> endpointLists) {
        this.actions = actions;
        this.endpointLists = endpointLists;
    }

    /** Handles one line of a batch. */
    void handle(long nowUs, FieldReader fields) {
        switch (fields.name()) {
            case "POWER_ON" -> start(nowUs, fields);
            case "STOP" -> stop();
            default -> {
                if (engine == null) {
                    throw new MalformedLineException(fields.name() + " for an instance that has not started");
                }
                handleEvent(nowUs, fields);
            }
        }
    }

    private void start(long nowUs, FieldReader fields) {
        long seed = fields.requiredLong("entropy");
        inFlight.clear();
        engine = new ReleaseGate(SettingsDecoder.decode(seed, SettingsDecoder.splitPairs(fields.rest())), actions);
        engine.start(nowUs);
    }

    private void stop() {
        engine = null;
        inFlight.clear();
    }

    private void handleEvent(long nowUs, FieldReader fields) {
        switch (fields.name()) {
            case "INBOUND" -> handleRequest(nowUs, fields);
            case "REPORT_BACK" -> handleAttemptResult(nowUs, fields);
            case "ELAPSED" -> engine.timerFired(nowUs, fields.requiredLong("nonce"));
            case "SYNC" -> handleEndpointList(nowUs, fields);
            case "STAGE" -> handleReleaseState(nowUs, fields);
            case "COMPLAINT" -> handleComplaint(nowUs, fields);
            case "ABANDONED", "HEAD_RECEIVED" ->
                forRequestInFlight(fields.requiredText("msgId"), request -> request.responseNoLongerOwed(nowUs));
            case "SCORECARD" -> handleFleetSample(nowUs, fields);
            case "MAIL", "CHECKED" -> {
                // This engine sends no messages or health checks, so it ignores their results.
            }
            default -> throw new MalformedLineException("expected an event, found " + fields.name());
        }
    }

    private void handleRequest(long nowUs, FieldReader fields) {
        String id = fields.requiredText("msgId");
        int route = fields.requiredInt("service");
        int tenant = fields.optionalInt(0);
        long key = fields.optionalLong(DecisionEngine.NO_KEY);
        long remainingUs = SettingsDecoder.nsToUs(fields.requiredLong("expiresInNs"));
        long costNs = fields.optionalLong(0);
        boolean costIsKnown = (fields.optionalLong(0) & 1) != 0;
        long costUs = costIsKnown ? SettingsDecoder.nsToUs(costNs) : 0;
        RequestHandle request = engine.acceptRequest(nowUs, id, route, tenant, key, remainingUs, costUs);
        inFlight.put(id, request);
        removeIfSettled(id, request);
    }

    private void handleAttemptResult(long nowUs, FieldReader fields) {
        String id = fields.requiredText("msgId");
        int attemptNo = fields.requiredInt("hop");
        fields.requiredText("unit");
        AttemptResult result = fields.oneOf(WireCodes.ATTEMPT_RESULTS, "result");
        long durationUs = fields.requiredLong("durationNs") / NS_PER_US;
        boolean answered = fields.requiredLong("over") == 1;
        LoadReport load = fields.loadReport();
        forRequestInFlight(id, request -> request.attemptEnded(nowUs, attemptNo, result, durationUs, answered, load));
    }

    /** Applies an action to a request in flight. Has no effect if the request is no longer in flight. */
    private void forRequestInFlight(String id, Consumer<RequestHandle> action) {
        RequestHandle request = inFlight.get(id);
        if (request != null) {
            action.accept(request);
            removeIfSettled(id, request);
        }
    }

    private void removeIfSettled(String id, RequestHandle request) {
        if (request.isSettled()) {
            inFlight.remove(id);
        }
    }

    private void handleEndpointList(long nowUs, FieldReader fields) {
        fields.requiredLong("seqNo");
        DecisionEngine.EndpointUpdateType updateType = WireCodes.ENDPOINT_UPDATE_TYPES.get(
                fields.requiredIndex("form", WireCodes.ENDPOINT_UPDATE_TYPES.size()));
        List<Endpoint> endpoints = updateType == DecisionEngine.EndpointUpdateType.FAILED
                ? List.of()
                : endpointLists.get(fields.requiredIndex("list", endpointLists.size()));
        engine.endpointsUpdated(nowUs, updateType, endpoints);
    }

    private void handleReleaseState(long nowUs, FieldReader fields) {
        int stage = fields.optionalInt(0);
        double cap = fields.optionalDouble(0);
        long ageUs = fields.optionalLong(0) / NS_PER_US;
        boolean answersVote = fields.optionalLong(0) == 1;
        DecisionEngine.ReleasePhase phase =
                WireCodes.PHASES.get(fields.optionalIndex(0, "phase", WireCodes.PHASES.size()));
        DecisionEngine.VoteResponse voteResponse = fields.oneOf(WireCodes.VOTE_RESPONSES, "result");
        int build = fields.optionalInt(0);
        // An update that does not answer a vote carries the result word of a counted vote, too.
        boolean unsolicited = !answersVote && voteResponse == DecisionEngine.VoteResponse.COUNTED;
        engine.releaseStateUpdated(
                nowUs,
                build,
                stage,
                phase,
                cap,
                ageUs,
                unsolicited ? DecisionEngine.VoteResponse.NOT_ASKED : voteResponse);
    }

    private void handleComplaint(long nowUs, FieldReader fields) {
        String endpoint = fields.requiredText("unit");
        int route = fields.requiredInt("service");
        long ageUs = fields.requiredLong("behindNs") / NS_PER_US;
        engine.complaintReceived(nowUs, endpoint, route, ageUs);
    }

    private void handleFleetSample(long nowUs, FieldReader fields) {
        int failed = fields.optionalInt(0);
        long meanUs = fields.optionalLong(0) / NS_PER_US;
        long ageUs = fields.optionalLong(0) / NS_PER_US;
        int build = fields.requiredInt("rel");
        int count = fields.optionalInt(0);
        int route = fields.requiredInt("service");
        engine.fleetSampleReceived(nowUs, build, route, count, failed, meanUs, ageUs);
    }
}
