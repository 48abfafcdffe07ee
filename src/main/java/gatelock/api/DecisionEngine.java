package gatelock.api;

import java.util.List;

/**
 * One relay's decisions. A relay calls this from one thread with its own clock, which never goes back; each
 * call may answer through the {@link DecisionActions} it was built with, before it returns.
 */
public interface DecisionEngine {

    /** What a list of endpoints is: what changed, all there is, a remembered whole, or notice that none came. */
    enum ListForm {
        DELTA,
        FULL,
        CACHED,
        FAILED
    }

    /** The state of the newest build at the release controller, in the order in which a build comes to them. */
    enum Phase {
        TRIAL,
        RELEASED,
        REVERTING,
        WITHDRAWN
    }

    /** How a vote was answered: {@code NOT_ASKED} marks news that answers no vote. */
    enum VoteAnswer {
        NOT_ASKED,
        COUNTED,
        MOOT,
        BUSY,
        ERROR,
        TIMED_OUT
    }

    /** Called once, before anything else. */
    void start(long nowUs);

    /**
     * A request has arrived; it is owed exactly one final answer.
     *
     * @param key the subject of the request, or {@link #NO_KEY}
     * @param leftUs how long the client still waits
     * @param costUs the announced work as time on a standard core, or 0 where nothing valid was announced
     */
    default RequestHandle take(long nowUs, String id, int route, int tenant, long key, long leftUs, long costUs) {
        return take(nowUs, id, route, tenant, key, leftUs, costUs, RequestConstraints.NONE);
    }

    /** The same of a request for which more was set than the charter's terms. */
    RequestHandle take(
            long nowUs,
            String id,
            int route,
            int tenant,
            long key,
            long leftUs,
            long costUs,
            RequestConstraints bounds);

    /** Stands for a request without a key. */
    long NO_KEY = -1;

    /** When a message of an open session may go to its endpoint. */
    enum Passing {
        NOW,
        LATER,
        NEVER
    }

    /**
     * A message of a session that stands at an endpoint is to go there. It counts as a request taken and, at a build
     * canary, as
     * an attempt.
     *
     * @param first whether it is asked for the first time, and not again after {@link Passing#LATER}
     */
    default Passing message(long nowUs, String endpoint, int route, boolean first) {
        return Passing.NEVER;
    }

    /** The list of endpoints, or a part of it, has come in. */
    void listed(long nowUs, ListForm form, List<Endpoint> endpoints);

    /** News of the newest build; {@code answer} tells whether it answers a vote. Only where it is
     * {@code NOT_ASKED} or {@code COUNTED} do the other values hold. */
    void news(long nowUs, int build, int stage, Phase phase, double cap, long agoUs, VoteAnswer answer);

    /** A client found an answer wrong that {@code endpoint} gave to an attempt sent {@code agoUs} ago. */
    void complaint(long nowUs, String endpoint, int route, long agoUs);

    /**
     * The release controller's sample of all relays' tries at a build on one route, over a span that ended
     * {@code agoUs} ago: how many, how many of them failed, and the mean time of the rest.
     */
    void counted(long nowUs, int build, int route, int count, int failed, long meanUs, long agoUs);

    /** A timer asked for on the outlet is due. */
    void due(long nowUs, long token);
}
