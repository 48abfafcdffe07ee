package gatelock.standin;

import gatelock.api.DecisionEngine;
import gatelock.api.Endpoint;
import gatelock.api.RequestConstraints;
import gatelock.api.RequestHandle;
import java.util.List;

/** A decision engine that fails on each call; a test overrides the calls that it expects. */
public interface FailingDecisionEngine extends DecisionEngine {
    @Override
    default void releaseStateUpdated(
            long nowUs, int build, int stage, ReleasePhase phase, double cap, long ageUs, VoteResponse voteResponse) {
        throw new AssertionError();
    }

    @Override
    default void endpointsUpdated(long nowUs, EndpointUpdateType form, List<Endpoint> endpoints) {
        throw new AssertionError();
    }

    @Override
    default void start(long nowUs) {
        throw new AssertionError();
    }

    @Override
    default RequestHandle acceptRequest(
            long nowUs,
            String id,
            int route,
            int tenant,
            long key,
            long leftUs,
            long costUs,
            RequestConstraints constraints) {
        throw new AssertionError();
    }

    @Override
    default void complaintReceived(long nowUs, String endpoint, int route, long attemptAgeUs) {
        throw new AssertionError();
    }

    @Override
    default void fleetSampleReceived(
            long nowUs, int build, int route, int count, int failed, long meanUs, long sampleAgeUs) {
        throw new AssertionError();
    }

    @Override
    default void timerFired(long nowUs, long token) {
        throw new AssertionError();
    }
}
