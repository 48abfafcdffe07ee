package gatelock.config;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Enforces limits on rate and concurrency. A request acquires all of its limits at once or none of them, and waits in
 * the queue of one of them if it lacks capacity. The state belongs to the relay and not to a version: a limit whose name
 * stays keeps its tokens, its requests in flight and its queue, so that a version that changes a rate neither grants a
 * fresh burst nor forgets what is in flight.
 */
final class RequestLimiter {
    /** The shortest pause that a shed request is given. */
    private static final long MIN_RETRY_AFTER_US = 1_000;
    /** Stands for an unknown time until capacity; far from overflow when it is added to the current time. */
    private static final long UNKNOWN_US = Long.MAX_VALUE / 2;

    private final LimitBuckets buckets = new LimitBuckets();
    /** Buckets in whose queue a request waits. */
    private final Set<LimitBucket> bucketsWithQueue = new LinkedHashSet<>();

    /** The outcome of asking for admission. */
    enum Outcome {
        ADMITTED,
        QUEUED,
        SHED
    }

    /**
     * The answer to a request for admission.
     *
     * @param ticket to be released when the request ends; null if it was shed or has no limits
     * @param retryAfterUs after how long a shed request may come back, in microseconds; otherwise 0
     */
    record Decision(Outcome outcome, Ticket ticket, long retryAfterUs) {}

    /** A request's claim on its limits: it waits in the queue of one, or holds its part of all until it is released. */
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

        boolean isQueued() {
            return queuedIn != null;
        }

        /** Ends the claim, as the request is answered or its client left; requests that wait may be admitted. */
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

        /** Returns after how long a new request with these limits is likely to be admitted. */
        private long retryAfterUs(long nowUs) {
            long longestUs = MIN_RETRY_AFTER_US;
            for (LimitBucket bucket : buckets) {
                longestUs = Math.max(longestUs, bucket.retryAfterUs(nowUs));
            }
            return longestUs;
        }

        /** Returns when capacity may be there, as far as it is known; it may also come by a release. */
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
     * Admits a request, lets it wait, or sheds it.
     *
     * @param nowUs the current time
     * @param limits the request's limits
     * @param route name of its route
     * @param tenant index of its tenant
     * @param deadlineUs its deadline
     * @param request is notified of the outcome if the request has to wait
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
        LimitBucket exhausted = firstExhausted(nowUs, needed);
        if (exhausted == null) {
            ticket.acquire();
            return new Decision(Outcome.ADMITTED, ticket, 0);
        }
        if (enqueue(nowUs, exhausted, ticket)) {
            return new Decision(Outcome.QUEUED, ticket, 0);
        }
        return new Decision(Outcome.SHED, null, ticket.retryAfterUs(nowUs));
    }

    /** Returns the first bucket without capacity, or in which others wait already, or null. */
    private static LimitBucket firstExhausted(long nowUs, List<LimitBucket> needed) {
        for (LimitBucket bucket : needed) {
            if (!bucket.hasCapacity(nowUs) || !bucket.queue().isEmpty()) {
                return bucket;
            }
        }
        return null;
    }

    /**
     * Puts a request in a bucket's queue: in a free place, or in the last place of the tenant with most places if that
     * has more than the newcomer's tenant would have. Returns false if there is no place.
     */
    private boolean enqueue(long nowUs, LimitBucket bucket, Ticket ticket) {
        LimitPolicy policy = bucket.policy();
        // Half of the remaining time is left for the request's execution.
        long untilUs = nowUs + Math.min(policy.maxWaitUs(), (ticket.deadlineUs - nowUs) / 2);
        if (policy.maxQueueLength() == 0 || untilUs <= nowUs) {
            return false;
        }
        TenantFairQueue<Ticket> queue = bucket.queue();
        if (queue.size() >= policy.maxQueueLength()) {
            if (queue.longestSize() <= queue.sizeOf(ticket.tenant) + 1) {
                return false;
            }
            shedQueued(nowUs, queue.lastOfLongest());
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

    /** Admits requests of a queue while there is capacity: tenants in turn, the longest waiting of each first. */
    private void admitQueued(long nowUs, LimitBucket bucket) {
        boolean admittedAny = true;
        while (admittedAny && !bucket.queue().isEmpty()) {
            admittedAny = false;
            for (int tenant : bucket.queue().tenants()) {
                Ticket first = bucket.queue().first(tenant);
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

    /** Sheds requests that have waited too long and admits those that may pass; to be called at {@link #nextDueUs}. */
    void processQueues(long nowUs) {
        for (LimitBucket bucket : List.copyOf(bucketsWithQueue)) {
            for (int tenant : bucket.queue().tenants()) {
                Ticket first = bucket.queue().first(tenant);
                while (first != null && first.queuedUntilUs <= nowUs) {
                    shedQueued(nowUs, first);
                    first = bucket.queue().first(tenant);
                }
            }
            admitQueued(nowUs, bucket);
        }
    }

    /** Applies the limits of a new version; a queue that became shorter sheds, and requests that wait may pass. */
    void applyPolicies(long nowUs, Map<String, LimitPolicy> limits) {
        buckets.updateScopes(limits);
        for (LimitBucket bucket : buckets.all()) {
            LimitPolicy next = limits.get(bucket.key().limit());
            if (next != null && next.scope() == bucket.policy().scope()) {
                bucket.applyPolicy(nowUs, next);
            }
            while (bucket.queue().size() > bucket.policy().maxQueueLength()) {
                shedQueued(nowUs, bucket.queue().lastOfLongest());
            }
            admitQueued(nowUs, bucket);
        }
    }

    /** Returns when {@link #processQueues} is to be called next, or {@code Long.MAX_VALUE} if nothing waits. */
    long nextDueUs(long nowUs) {
        long nextUs = Long.MAX_VALUE;
        for (LimitBucket bucket : bucketsWithQueue) {
            for (Ticket first : bucket.queue().firstOfEach()) {
                nextUs = Math.min(nextUs, first.queuedUntilUs);
                nextUs = Math.min(nextUs, nowUs + Math.max(1, first.timeToCapacityUs(nowUs)));
            }
        }
        return nextUs;
    }

    /** Returns how many requests wait, in all queues together. */
    int queuedCount() {
        int queued = 0;
        for (LimitBucket bucket : bucketsWithQueue) {
            queued += bucket.queue().size();
        }
        return queued;
    }

    /** Returns how many requests are in flight under a limit. */
    int inFlight(String limit) {
        return buckets.inFlight(limit);
    }

    /** Returns the number of buckets. */
    int bucketCount() {
        return buckets.size();
    }
}
