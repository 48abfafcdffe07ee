package gatelock.fleet;

import gatelock.api.RequestHandle;

/** A request as a relay holds it in flight. */
final class SimulatedRequest {
    private final String id;
    private final int route;
    private final double workUs;
    private final long deadlineUs;
    private RequestHandle handle;
    private boolean answered;
    private int attempts;

    /**
     * @param route the index of its route
     * @param workUs processing time that each attempt needs at an endpoint of full speed
     * @param deadlineUs when the client gives up
     */
    SimulatedRequest(String id, int route, double workUs, long deadlineUs) {
        this.id = id;
        this.route = route;
        this.workUs = workUs;
        this.deadlineUs = deadlineUs;
    }

    String id() {
        return id;
    }

    int route() {
        return route;
    }

    double workUs() {
        return workUs;
    }

    long deadlineUs() {
        return deadlineUs;
    }

    RequestHandle handle() {
        return handle;
    }

    void setHandle(RequestHandle handle) {
        this.handle = handle;
    }

    boolean isAnswered() {
        return answered;
    }

    void markAnswered() {
        answered = true;
    }

    int nextAttemptNumber() {
        return attempts++;
    }

    /** Whether nothing more can come of it. */
    boolean isSettled() {
        return answered && handle != null && handle.isSettled();
    }
}
