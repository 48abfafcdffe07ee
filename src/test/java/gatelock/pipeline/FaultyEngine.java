package gatelock.pipeline;

import gatelock.api.AttemptResult;
import gatelock.api.DecisionActions;
import gatelock.api.LoadReport;
import gatelock.api.RequestConstraints;
import gatelock.api.RequestHandle;
import gatelock.standin.FailingDecisionEngine;
import java.util.SplittableRandom;

/** A decision engine that sends each request once to the only endpoint, and throws where a test asks for it. */
final class FaultyEngine implements FailingDecisionEngine {
    static final String ENDPOINT = "e";

    /** Where the engine fails. */
    enum Fault {
        /** It throws while it accepts a request. */
        ACCEPT,
        /** It throws an {@link Error} while it accepts a request. */
        ACCEPT_ERROR,
        /** It throws after it has ordered an attempt. */
        ACCEPT_AFTER_ATTEMPT,
        /** It throws when it is asked whether an attempt may start. */
        MAY_START,
        /** It throws when an attempt ends. */
        ATTEMPT_ENDED,
        /** It never answers, as if it had thrown in the timer of the request's deadline. */
        NO_ANSWER,
        /** It throws when a client has left or a request was ended, and does not answer. */
        LEAVING
    }

    private final DecisionActions actions;
    private volatile Fault fault;
    private volatile double faultRate;
    private volatile SplittableRandom random;

    FaultyEngine(DecisionActions actions) {
        this.actions = actions;
    }

    /** Sets where the engine fails from now on; null for nowhere. */
    void setFault(Fault newFault) {
        fault = newFault;
    }

    /** Lets each call fail with this probability from now on. */
    void setFaultRate(double probability, long seed) {
        random = new SplittableRandom(seed);
        faultRate = probability;
    }

    /** Returns whether the engine fails now. Called on the I/O thread only. */
    private boolean fails(Fault expected) {
        return fault == expected || (faultRate > 0 && random.nextDouble() < faultRate / Fault.values().length);
    }

    private void failIf(Fault expected) {
        if (fails(expected)) {
            throw new IllegalStateException("injected fault " + expected);
        }
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
        failIf(Fault.ACCEPT);
        if (fails(Fault.ACCEPT_ERROR)) {
            throw new AssertionError("injected fault");
        }
        if (!constraints.allowsEndpoint(ENDPOINT)) {
            throw new IllegalStateException("the only endpoint belongs to all pools that have one");
        }
        if (!fails(Fault.NO_ANSWER)) {
            actions.sendAttempt(id, ENDPOINT, 0);
        }
        failIf(Fault.ACCEPT_AFTER_ATTEMPT);
        return new Handle(id);
    }

    /** A request with at most one attempt. */
    private final class Handle implements RequestHandle {
        private final String id;
        private boolean settled;

        private Handle(String id) {
            this.id = id;
        }

        @Override
        public void attemptEnded(
                long nowUs, int attemptNo, AttemptResult result, long durationUs, boolean answered, LoadReport load) {
            failIf(Fault.ATTEMPT_ENDED);
            settled = true;
            if (!answered && !fails(Fault.LEAVING)) {
                actions.failRequest(id);
            }
        }

        @Override
        public boolean mayStart(long nowUs, int attemptNo) {
            failIf(Fault.MAY_START);
            return true;
        }

        @Override
        public void responseNoLongerOwed(long nowUs) {
            failIf(Fault.LEAVING);
            settled = true;
        }

        @Override
        public boolean isSettled() {
            return settled;
        }
    }
}
