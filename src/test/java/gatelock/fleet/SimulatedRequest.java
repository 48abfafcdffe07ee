package gatelock.fleet;

import gatelock.api.RequestHandle;

/** A request that is in flight at a relay. */
final class SimulatedRequest {
    private final String id;
    private final int route;
    private final double workUs;
    private final long deadlineUs;
    private RequestHandle handle;
    private boolean answered;
    private int attempts;

    /**
     * @param route the index of the request's route
     * @param workUs processing time that each attempt needs at an endpoint of full speed
     * @param deadlineUs the time at which the client gives up
     */
    SimulatedRequest(String id, int route, double workUs, long deadlineUs) {
        this.id = id;
        this.route = route;
        this.workUs = workUs;
        this.deadlineUs = deadlineUs;
    }

    /** Returns the unique id of this request. */
    String id() {
        return id;
    }

    /** Returns the index of this request's route. */
    int route() {
        return route;
    }

    /** Returns the processing time that each attempt needs at an endpoint of full speed. */
    double workUs() {
        return workUs;
    }

    /** Returns the time at which the client gives up. */
    long deadlineUs() {
        return deadlineUs;
    }

    /** Returns the decision engine's handle of this request; null until it is set. */
    RequestHandle handle() {
        return handle;
    }

    /** Sets the decision engine's handle of this request. */
    void setHandle(RequestHandle handle) {
        this.handle = handle;
    }

    /** Returns whether the client has received a response. */
    boolean isAnswered() {
        return answered;
    }

    /** Records that the client has received a response. */
    void markAnswered() {
        answered = true;
    }

    /** Returns the number of the next attempt, from 0, and increments it. */
    int nextAttemptNumber() {
        return attempts++;
    }

    /** Returns whether the request is answered and the decision engine expects no further event for it. */
    boolean isSettled() {
        return answered && handle != null && handle.isSettled();
    }
}
