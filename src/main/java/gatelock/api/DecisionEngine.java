package gatelock.api;

import java.util.List;

/**
 * Makes the decisions of one relay. The relay calls the engine from a single thread and passes its own clock, in
 * microseconds, which never goes back. Before a call returns, it may order actions through the {@link DecisionActions}
 * that the engine was built with.
 */
public interface DecisionEngine {

    /** The key of a request without a sticky key. */
    long NO_KEY = -1;

    /** What an update of the endpoint list contains. */
    enum EndpointUpdateType {
        /** The entries that changed. */
        DELTA,
        /** The complete list of endpoints. */
        FULL,
        /** The complete list of endpoints as an earlier process of this relay stored it. */
        CACHED,
        /** No entries, as discovery failed to deliver a list. */
        FAILED
    }

    /** The state of the newest build at the release controller, in the order in which a build passes through them. */
    enum ReleasePhase {
        /** The build is a canary: it receives at most the share of requests that its stage allows. */
        TRIAL,
        /** The build is fully released. */
        RELEASED,
        /** The build is being rolled back. */
        REVERTING,
        /** The build has been rolled back and receives no requests. */
        WITHDRAWN
    }

    /** How the release controller answered a vote. */
    enum VoteResponse {
        /** The update does not answer a vote. */
        NOT_ASKED,
        /** The vote was counted. */
        COUNTED,
        /** The vote was not applicable any more, as the build had moved on meanwhile. */
        MOOT,
        /** The release controller rejected the vote because it was overloaded. */
        BUSY,
        /** The release controller failed to process the vote, or its answer was unreadable. */
        ERROR,
        /** No answer came in time; the vote may have been counted. */
        TIMED_OUT
    }

    /** Whether a message of an open session may be forwarded to its endpoint. */
    enum MessageAdmission {
        /** It may be forwarded at once. */
        NOW,
        /** It may not be forwarded yet; the caller asks again later. */
        LATER,
        /** It must not be forwarded, and the session has to leave its endpoint. */
        NEVER
    }

    /**
     * Starts the engine; called once, before any other method.
     *
     * @param nowUs the current time
     */
    void start(long nowUs);

    /**
     * Accepts a request without constraints beyond the deployment's settings. Every accepted request gets exactly one
     * final answer.
     *
     * @param nowUs the current time
     * @param id the request's id, unique among the requests in flight
     * @param route the index of its route in {@link RelaySettings}
     * @param tenant the index of its tenant in {@link RelaySettings}, or the number of tenants if it is not known
     * @param key the sticky key of the request, or {@link #NO_KEY}
     * @param remainingUs how long the client still waits, in microseconds
     * @param costUs the announced cost as processing time on a standard core, in microseconds; 0 if no valid cost was
     *     announced
     * @return the handle on which all later events of the request are reported
     */
    default RequestHandle acceptRequest(
            long nowUs, String id, int route, int tenant, long key, long remainingUs, long costUs) {
        return acceptRequest(nowUs, id, route, tenant, key, remainingUs, costUs, RequestConstraints.NONE);
    }

    /**
     * Accepts a request. Every accepted request gets exactly one final answer. If this method throws, the request is
     * not accepted, and the caller answers it.
     *
     * @param nowUs the current time
     * @param id the request's id, unique among the requests in flight
     * @param route the index of its route in {@link RelaySettings}
     * @param tenant the index of its tenant in {@link RelaySettings}, or the number of tenants if it is not known
     * @param key the sticky key of the request, or {@link #NO_KEY}
     * @param remainingUs how long the client still waits, in microseconds
     * @param costUs the announced cost as processing time on a standard core, in microseconds; 0 if no valid cost was
     *     announced
     * @param constraints what the active configuration sets for this request beyond the deployment's settings
     * @return the handle on which all later events of the request are reported
     */
    RequestHandle acceptRequest(
            long nowUs,
            String id,
            int route,
            int tenant,
            long key,
            long remainingUs,
            long costUs,
            RequestConstraints constraints);

    /**
     * Decides whether a message of a session that is open at an endpoint may be forwarded. A forwarded message counts
     * as an accepted request and, if the endpoint runs the canary build, as an attempt there.
     *
     * @param nowUs the current time
     * @param endpoint the name of the session's endpoint
     * @param route the index of the session's route
     * @param first whether this is the first call for this message, not a repeated one after {@link
     *     MessageAdmission#LATER}
     * @return whether the message may be forwarded
     */
    default MessageAdmission admitMessage(long nowUs, String endpoint, int route, boolean first) {
        return MessageAdmission.NEVER;
    }

    /**
     * Processes an update of the endpoint list.
     *
     * @param nowUs the current time
     * @param updateType what the update contains
     * @param endpoints its entries
     */
    void endpointsUpdated(long nowUs, EndpointUpdateType updateType, List<Endpoint> endpoints);

    /**
     * Processes the state of the newest build. The values from {@code build} to {@code ageUs} are valid only if {@code
     * voteResponse} is {@link VoteResponse#NOT_ASKED} or {@link VoteResponse#COUNTED}.
     *
     * @param nowUs the current time
     * @param build the newest build
     * @param stage the stage of its rollout, from 0
     * @param phase its phase
     * @param cap the share of the requests that it may receive, from 0 to 1
     * @param ageUs the time since this state began, in microseconds
     * @param voteResponse how a vote was answered, or {@link VoteResponse#NOT_ASKED} if this update answers none
     */
    void releaseStateUpdated(
            long nowUs, int build, int stage, ReleasePhase phase, double cap, long ageUs, VoteResponse voteResponse);

    /**
     * Processes a client's complaint that an answer was wrong.
     *
     * @param nowUs the current time
     * @param endpoint the name of the endpoint that gave the answer
     * @param route the index of the request's route
     * @param attemptAgeUs how long ago the attempt was sent, in microseconds
     */
    void complaintReceived(long nowUs, String endpoint, int route, long attemptAgeUs);

    /**
     * Processes the release controller's sample of the attempts that all relays made at one build on one route.
     *
     * @param nowUs the current time
     * @param build the build
     * @param route the index of the route
     * @param count the number of attempts
     * @param failed how many of them failed
     * @param meanUs the mean latency of the successful attempts, in microseconds
     * @param sampleAgeUs how long ago the sampled period ended, in microseconds
     */
    void fleetSampleReceived(long nowUs, int build, int route, int count, int failed, long meanUs, long sampleAgeUs);

    /**
     * Reports that a timer scheduled through {@link DecisionActions} has fired.
     *
     * @param nowUs the current time
     * @param token the token that the timer was scheduled with
     */
    void timerFired(long nowUs, long token);
}
