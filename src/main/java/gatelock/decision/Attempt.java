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

    /** The request's next attempt, sent now. */
    Attempt(RequestState request, EndpointState endpoint, long sentUs) {
        this.request = request;
        this.endpoint = endpoint;
        this.number = request.attempts().size();
        this.sentUs = sentUs;
        this.queueLength = endpoint.attemptsInFlight().size();
    }

    RequestState request() {
        return request;
    }

    EndpointState endpoint() {
        return endpoint;
    }

    /** Its place among the attempts of its request, from 0. */
    int number() {
        return number;
    }

    long sentUs() {
        return sentUs;
    }

    /** How many attempts of this relay were in flight at the endpoint when it was sent. */
    int queueLength() {
        return queueLength;
    }

    void end(AttemptResult endResult) {
        result = endResult;
    }

    /** How it ended, null while it is in flight. */
    AttemptResult result() {
        return result;
    }

    /** Whether it has ended and surely never ran at the endpoint. */
    boolean neverRan() {
        return result != null && result.neverRan;
    }

    void markCancelled() {
        cancelled = true;
    }

    /** Whether the decisions cancelled it, and not the client. */
    boolean isCancelled() {
        return cancelled;
    }

    void markOverdue() {
        overdue = true;
    }

    /** Whether it was found overdue; it no longer uses capacity then. */
    boolean isOverdue() {
        return overdue;
    }
}
