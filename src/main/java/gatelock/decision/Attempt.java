package gatelock.decision;

import gatelock.api.AttemptResult;

/** One attempt of a request at an endpoint. */
final class Attempt {
    private final RequestState request;
    private final EndpointState endpoint;
    private final int number;
    private final long sentUs;
    private final int queueLength;
    private AttemptResult result;
    private boolean cancelled;
    private boolean overdue;

    /** Creates the request's next attempt, which is sent at {@code sentUs}. */
    Attempt(RequestState request, EndpointState endpoint, long sentUs) {
        this.request = request;
        this.endpoint = endpoint;
        this.number = request.attempts().size();
        this.sentUs = sentUs;
        this.queueLength = endpoint.attemptsInFlight().size();
    }

    /** Returns its request. */
    RequestState request() {
        return request;
    }

    /** Returns the endpoint that it was sent to. */
    EndpointState endpoint() {
        return endpoint;
    }

    /** Returns its index among the attempts of its request, from 0. */
    int number() {
        return number;
    }

    /** Returns when it was sent. */
    long sentUs() {
        return sentUs;
    }

    /** Returns how many attempts of this relay were in flight at the endpoint when it was sent. */
    int queueLength() {
        return queueLength;
    }

    /** Records how it ended. */
    void end(AttemptResult endResult) {
        result = endResult;
    }

    /** Returns how it ended, or null while it is in flight. */
    AttemptResult result() {
        return result;
    }

    /** Whether it has ended and was provably not executed. */
    boolean neverExecuted() {
        return result != null && result.neverExecuted;
    }

    /** Marks it as cancelled by this relay. */
    void markCancelled() {
        cancelled = true;
    }

    /** Whether this relay cancelled it, as opposed to the client. */
    boolean isCancelled() {
        return cancelled;
    }

    /** Marks it as overdue. */
    void markOverdue() {
        overdue = true;
    }

    /** Whether it was found overdue. An overdue attempt no longer counts against the capacity. */
    boolean isOverdue() {
        return overdue;
    }
}
