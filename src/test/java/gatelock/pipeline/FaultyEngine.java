package gatelock.pipeline;

import gatelock.api.AttemptResult;
import gatelock.api.DecisionActions;
import gatelock.api.LoadReport;
import gatelock.api.RequestConstraints;
import gatelock.api.RequestHandle;
import gatelock.standin.FailingDecisionEngine;

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

    FaultyEngine(DecisionActions actions) {
        this.actions = actions;
    }

    /** Sets where the engine fails from now on; null for nowhere. */
    void setFault(Fault newFault) {
        fault = newFault;
    }

    private void failIf(Fault expected) {
        if (fault == expected) {
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
        if (fault == Fault.ACCEPT_ERROR) {
            throw new AssertionError("injected fault");
        }
        if (fault != Fault.NO_ANSWER) {
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
            if (!answered && fault != Fault.LEAVING) {
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
