package gatelock.boot;

import gatelock.api.DecisionEngine;
import gatelock.api.Endpoint;
import gatelock.api.RequestConstraints;
import gatelock.api.RequestHandle;
import gatelock.session.SessionRegistry;
import java.util.List;

/**
 * Wraps a decision engine and also passes updates of endpoints and releases to the WebSocket sessions.
 *
 * @param engine the wrapped engine
 * @param sessions the sessions to update
 */
record SessionAwareEngine(DecisionEngine engine, SessionRegistry sessions) implements DecisionEngine {

    @Override
    public void start(long nowUs) {
        engine.start(nowUs);
    }

    @Override
    public RequestHandle acceptRequest(
            long nowUs,
            String id,
            int route,
            int tenant,
            long key,
            long remainingUs,
            long costUs,
            RequestConstraints constraints) {
        return engine.acceptRequest(nowUs, id, route, tenant, key, remainingUs, costUs, constraints);
    }

    @Override
    public MessageAdmission admitMessage(long nowUs, String endpoint, int route, boolean first) {
        return engine.admitMessage(nowUs, endpoint, route, first);
    }

    @Override
    public void endpointsUpdated(long nowUs, EndpointUpdateType updateType, List<Endpoint> endpoints) {
        engine.endpointsUpdated(nowUs, updateType, endpoints);
        sessions.updateEndpoints(nowUs, updateType, endpoints);
    }

    @Override
    public void releaseStateUpdated(
            long nowUs, int build, int stage, ReleasePhase phase, double cap, long ageUs, VoteResponse voteResponse) {
        engine.releaseStateUpdated(nowUs, build, stage, phase, cap, ageUs, voteResponse);
        // Any other response is about a vote that was not counted, and carries no release state.
        if (voteResponse == VoteResponse.NOT_ASKED || voteResponse == VoteResponse.COUNTED) {
            sessions.updateRelease(nowUs, build, phase);
        }
    }

    @Override
    public void complaintReceived(long nowUs, String endpoint, int route, long attemptAgeUs) {
        engine.complaintReceived(nowUs, endpoint, route, attemptAgeUs);
    }

    @Override
    public void fleetSampleReceived(
            long nowUs, int build, int route, int count, int failed, long meanUs, long sampleAgeUs) {
        engine.fleetSampleReceived(nowUs, build, route, count, failed, meanUs, sampleAgeUs);
    }

    @Override
    public void timerFired(long nowUs, long token) {
        engine.timerFired(nowUs, token);
    }
}
