package gatelock.config;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Enforces limits on rate and concurrency. A request acquires all of its limits at once or none of them; if one of them
 * has no capacity, the request waits in that limit's queue. The state belongs to the relay and not to a version: a
 * limit that keeps its name keeps its tokens, its requests in flight and its queue, so that a version that changes a
 * rate neither grants a fresh burst nor forgets the requests in flight.
 */
final class RequestLimiter {
    /** The shortest delay after which a shed request is told to retry. */
    private static final long MIN_RETRY_AFTER_US = 1_000;
    /** Marks an unknown time to capacity; small enough to be added to the current time without overflow. */
    private static final long UNKNOWN_US = Long.MAX_VALUE / 2;

    private final LimitBuckets buckets = new LimitBuckets();
    /** The buckets whose queues are not empty. */
    private final Set<LimitBucket> bucketsWithQueue = new LinkedHashSet<>();

    /** The immediate outcome of an admission request. */
    enum Outcome {
        ADMITTED,
        QUEUED,
        SHED
    }

    /**
     * The result of an admission request.
     *
     * @param outcome whether the request was admitted, queued or shed
     * @param ticket must be released when the request ends; null if the request was shed or has no limits
     * @param retryAfterUs after how many microseconds a shed request may be retried; 0 if it was not shed
     */
    record Decision(Outcome outcome, Ticket ticket, long retryAfterUs) {}

    /**
     * A request's claim on its limits: queued in one of them, or holding a share of all of them until it is released.
     */
    final class Ticket {
        private final int tenant;
        private final List<LimitBucket> buckets;
        private final QueuedRequest request;
        private final long deadlineUs;
        private LimitBucket queuedIn;
        private long queuedUntilUs;
        private boolean acquired;

        private Ticket(int tenant, List<LimitBucket> buckets, long deadlineUs, QueuedRequest request) {
            this.tenant = tenant;
            this.buckets = buckets;
            this.deadlineUs = deadlineUs;
            this.request = request;
        }

        /** Returns whether the request is still queued. */
        boolean isQueued() {
            return queuedIn != null;
        }

        /**
         * Ends the claim, once the request is answered or its client has disconnected. Queued requests may then be
         * admitted.
         */
        void release(long nowUs) {
            if (queuedIn != null) {
                removeFromQueue(this);
            } else if (acquired) {
                acquired = false;
                buckets.forEach(LimitBucket::release);
                Set<LimitBucket> affected = new LinkedHashSet<>(buckets);
                buckets.forEach(bucket -> affected.addAll(bucket.dependents()));
                affected.forEach(bucket -> admitQueued(nowUs, bucket));
            }
        }

        private boolean hasCapacity(long nowUs) {
            for (LimitBucket bucket : buckets) {
                if (!bucket.hasCapacity(nowUs)) {
                    return false;
                }
            }
            return true;
        }

        private void acquire() {
            acquired = true;
            buckets.forEach(LimitBucket::acquire);
        }

        /** Estimates the time in microseconds until a new request with these limits would be admitted. */
        private long retryAfterUs(long nowUs) {
            long longestUs = MIN_RETRY_AFTER_US;
            for (LimitBucket bucket : buckets) {
                longestUs = Math.max(longestUs, bucket.retryAfterUs(nowUs));
            }
            return longestUs;
        }

        /**
         * Returns the time in microseconds until all limits may have capacity, or {@link #UNKNOWN_US} while that
         * depends on the release of a request in flight.
         */
        private long timeToCapacityUs(long nowUs) {
            long longestUs = 0;
            for (LimitBucket bucket : buckets) {
                longestUs =
                        Math.max(longestUs, bucket.isBelowMaxInFlight() ? bucket.timeToCapacityUs(nowUs) : UNKNOWN_US);
            }
            return longestUs;
        }
    }

    /**
     * Admits, queues or sheds a request.
     *
     * @param nowUs the current time
     * @param limits the request's limits
     * @param route name of the request's route
     * @param tenant index of the request's tenant
     * @param deadlineUs the request's deadline
     * @param request receives the outcome if the request is queued
     */
    Decision admit(
            long nowUs, List<LimitPolicy> limits, String route, int tenant, long deadlineUs, QueuedRequest request) {
        if (limits.isEmpty()) {
            return new Decision(Outcome.ADMITTED, null, 0);
        }
        List<LimitBucket> needed = new ArrayList<>(limits.size());
        for (LimitPolicy limit : limits) {
            needed.add(buckets.find(nowUs, limit, route, tenant));
        }
        Ticket ticket = new Ticket(tenant, needed, deadlineUs, request);
        LimitBucket unavailable = firstUnavailable(nowUs, needed);
        if (unavailable == null) {
            ticket.acquire();
            return new Decision(Outcome.ADMITTED, ticket, 0);
        }
        if (enqueue(nowUs, unavailable, ticket)) {
            return new Decision(Outcome.QUEUED, ticket, 0);
        }
        return new Decision(Outcome.SHED, null, ticket.retryAfterUs(nowUs));
    }

    /** Returns the first bucket that has no capacity or has queued requests already, or null if there is none. */
    private static LimitBucket firstUnavailable(long nowUs, List<LimitBucket> needed) {
        for (LimitBucket bucket : needed) {
            if (!bucket.hasCapacity(nowUs) || !bucket.queue().isEmpty()) {
                return bucket;
            }
        }
        return null;
    }

    /**
     * Adds a request to a bucket's queue. If the queue is full, the last request of the tenant with the most queued
     * requests is shed to make room, provided that this tenant has more than the new request's tenant would have.
     * Returns false if the request can't be queued.
     */
    private boolean enqueue(long nowUs, LimitBucket bucket, Ticket ticket) {
        LimitPolicy policy = bucket.policy();
        // Wait for at most half of the remaining time; the other half is left for executing the request.
        long untilUs = nowUs + Math.min(policy.maxWaitUs(), (ticket.deadlineUs - nowUs) / 2);
        if (policy.maxQueueLength() == 0 || untilUs <= nowUs) {
            return false;
        }
        TenantFairQueue<Ticket> queue = bucket.queue();
        if (queue.size() >= policy.maxQueueLength()) {
            if (queue.longestQueueSize() <= queue.sizeOf(ticket.tenant) + 1) {
                return false;
            }
            shedQueued(nowUs, queue.lastOfLongestQueue());
        }
        ticket.queuedIn = bucket;
        ticket.queuedUntilUs = untilUs;
        queue.add(ticket.tenant, ticket);
        bucketsWithQueue.add(bucket);
        for (LimitBucket other : ticket.buckets) {
            if (other != bucket) {
                other.addDependent(bucket);
            }
        }
        return true;
    }

    private void removeFromQueue(Ticket ticket) {
        LimitBucket bucket = ticket.queuedIn;
        bucket.queue().remove(ticket.tenant, ticket);
        if (bucket.queue().isEmpty()) {
            bucketsWithQueue.remove(bucket);
        }
        for (LimitBucket other : ticket.buckets) {
            if (other != bucket) {
                other.removeDependent(bucket);
            }
        }
        ticket.queuedIn = null;
    }

    private void shedQueued(long nowUs, Ticket ticket) {
        removeFromQueue(ticket);
        ticket.request.onShed(nowUs, ticket.retryAfterUs(nowUs));
    }

    /** Admits queued requests while there is capacity: round robin over the tenants, in order of arrival for each. */
    private void admitQueued(long nowUs, LimitBucket bucket) {
        boolean admittedAny = true;
        while (admittedAny && !bucket.queue().isEmpty()) {
            admittedAny = false;
            for (int tenant : bucket.queue().tenants()) {
                Ticket first = bucket.queue().firstOf(tenant);
                if (first != null && first.hasCapacity(nowUs)) {
                    removeFromQueue(first);
                    bucket.queue().moveToBack(tenant);
                    first.acquire();
                    first.request.onAdmitted(nowUs);
                    admittedAny = true;
                }
            }
        }
    }

    /**
     * Sheds requests that have waited too long and admits those with capacity; must be called at {@link #nextDueUs}.
     */
    void processQueues(long nowUs) {
        for (LimitBucket bucket : List.copyOf(bucketsWithQueue)) {
            for (int tenant : bucket.queue().tenants()) {
                Ticket first = bucket.queue().firstOf(tenant);
                while (first != null && first.queuedUntilUs <= nowUs) {
                    shedQueued(nowUs, first);
                    first = bucket.queue().firstOf(tenant);
                }
            }
            admitQueued(nowUs, bucket);
        }
    }

    /** Applies the limits of a new version: sheds requests beyond a shortened queue and admits those with capacity. */
    void applyPolicies(long nowUs, Map<String, LimitPolicy> limits) {
        buckets.updateScopes(limits);
        for (LimitBucket bucket : buckets.all()) {
            LimitPolicy next = limits.get(bucket.key().limit());
            if (next != null && next.scope() == bucket.policy().scope()) {
                bucket.applyPolicy(nowUs, next);
            }
            while (bucket.queue().size() > bucket.policy().maxQueueLength()) {
                shedQueued(nowUs, bucket.queue().lastOfLongestQueue());
            }
            admitQueued(nowUs, bucket);
        }
    }

    /** Returns when {@link #processQueues} must be called next, or {@code Long.MAX_VALUE} if no request is queued. */
    long nextDueUs(long nowUs) {
        long nextUs = Long.MAX_VALUE;
        for (LimitBucket bucket : bucketsWithQueue) {
            for (Ticket first : bucket.queue().firstOfEachTenant()) {
                nextUs = Math.min(nextUs, first.queuedUntilUs);
                nextUs = Math.min(nextUs, nowUs + Math.max(1, first.timeToCapacityUs(nowUs)));
            }
        }
        return nextUs;
    }

    /** Returns the number of queued requests in all queues. */
    int queuedCount() {
        int queued = 0;
        for (LimitBucket bucket : bucketsWithQueue) {
            queued += bucket.queue().size();
        }
        return queued;
    }

    /** Returns the number of requests in flight under a limit. */
    int inFlight(String limit) {
        return buckets.inFlight(limit);
    }

    /** Returns the number of limit buckets. */
    int bucketCount() {
        return buckets.size();
    }
}
