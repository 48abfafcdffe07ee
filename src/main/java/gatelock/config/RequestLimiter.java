package gatelock.config;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The state of all limits: what is left of each rate, what is in flight, who waits. It belongs to the relay,
 * not to a
 * version, so that a limit whose name stays goes on from where it stood: a version that changes a rate hands
 * out
 * no fresh burst and forgets nothing that is in flight.
 */
final class RequestLimiter {
    /** A count that stood untouched so long, with nothing in flight and nobody waiting, is forgotten. */
    private static final long FORGET_US = 600_000_000;
    /** So many counts at the most; beyond that the longest untouched go, or what they are for is shed. */
    private static final int MOST_COUNTS = 100_000;

    private record Key(String limit, String route, int tenant) {}

    /** One count: of one limit, for what it has counts of its own for. */
    private final class Count {
        private final Key key;
        private LimitPolicy limit;
        private double tokens;
        private long atUs;
        private int inFlight;
        /** Who waits, by tenant, each in order; the tenants take turns. */
        private final LinkedHashMap<Integer, ArrayDeque<Ticket>> queue = new LinkedHashMap<>();

        private int queued;
        /** Counts in whose queue somebody waits who asks this one too, and how many do. */
        private final Map<Count, Integer> askedBy = new LinkedHashMap<>();

        Count(Key key, LimitPolicy limit, long nowUs, double tokens) {
            this.key = key;
            this.limit = limit;
            this.atUs = nowUs;
            this.tokens = tokens;
        }

        /** The tenant's part of the queue that is the longest; somebody must wait. */
        private ArrayDeque<Ticket> longest() {
            return queue.values().stream()
                    .max(Comparator.comparingInt(ArrayDeque::size))
                    .orElseThrow();
        }

        /** Earns what came in since, at the rate that held. */
        private void earn(long nowUs) {
            if (limit.perUs() == Double.POSITIVE_INFINITY) {
                tokens = limit.burst();
            } else if (nowUs > atUs) {
                tokens = Math.min(limit.burst(), tokens + (nowUs - atUs) * limit.perUs());
            }
            atUs = Math.max(atUs, nowUs);
        }

        /** Another version's terms hold from now on. */
        private void become(long nowUs, LimitPolicy next) {
            if (!next.equals(limit)) {
                earn(nowUs);
                boolean wasFree = limit.perUs() == Double.POSITIVE_INFINITY;
                limit = next;
                // Where there was no rate before, there is nothing saved up either.
                tokens = wasFree && next.perUs() < Double.POSITIVE_INFINITY
                        ? Math.min(1, next.burst())
                        : Math.min(tokens, next.burst());
            }
        }

        private boolean has(long nowUs) {
            earn(nowUs);
            return (limit.perUs() == Double.POSITIVE_INFINITY || tokens >= 1) && inFlight < limit.inFlight();
        }

        /** How long until the next request may pass, as far as it is known; in flight: as one that is short. */
        private long untilUs(long nowUs) {
            earn(nowUs);
            boolean rated = limit.perUs() < Double.POSITIVE_INFINITY && tokens < 1;
            long byRate = rated ? (long) Math.ceil((1 - tokens) / limit.perUs()) : 0;
            return inFlight >= limit.inFlight() ? Math.max(byRate, BUSY_US) : byRate;
        }
    }

    /** To come back to a limit that has its fill in flight. */
    private static final long BUSY_US = 100_000;

    /** A request that asks its limits; holds of each what it took until it is answered. */
    final class Ticket {
        private final int tenant;
        private final List<Count> counts;
        private final QueuedRequest waiting;
        private final long endUs;
        private Count waitsFor;
        private long waitsUntilUs;
        private boolean holds;

        private Ticket(int tenant, List<Count> counts, long endUs, QueuedRequest waiting) {
            this.tenant = tenant;
            this.counts = counts;
            this.endUs = endUs;
            this.waiting = waiting;
        }

        boolean waits() {
            return waitsFor != null;
        }

        /** The request is answered, or its client left: what it held is free, and who waits may come. */
        void over(long nowUs) {
            if (waitsFor != null) {
                leaveQueue(this);
            } else if (holds) {
                holds = false;
                counts.forEach(c -> c.inFlight--);
                Set<Count> freed = new LinkedHashSet<>(counts);
                counts.forEach(c -> freed.addAll(c.askedBy.keySet()));
                freed.forEach(c -> serve(nowUs, c));
            }
        }
    }

    private final LinkedHashMap<Key, Count> counts = new LinkedHashMap<>(16, 0.75f, true);
    /** Those in which somebody waits. */
    private final Set<Count> busy = new LinkedHashSet<>();
    /** Limits that had a count for something else before: of these no count begins with a burst. */
    private final Map<String, LimitPolicy.Per> pers = new HashMap<>();

    private final Set<String> changed = new HashSet<>();

    /** What came of asking. */
    enum Answer {
        PASSES,
        WAITS,
        SHED
    }

    /** What a request was told, its ticket unless it was shed, and when it may come back if so. */
    record Told(Answer answer, Ticket ticket, long pauseUs) {}

    /** A request asks all its limits at once: of all or of none it takes its part. */
    Told ask(long nowUs, List<LimitPolicy> limits, String route, int tenant, long endUs, QueuedRequest waiting) {
        if (limits.isEmpty()) {
            return new Told(Answer.PASSES, null, 0);
        }
        List<Count> asked = new ArrayList<>(limits.size());
        for (LimitPolicy limit : limits) {
            asked.add(count(nowUs, limit, route, tenant));
        }
        Ticket ticket = new Ticket(tenant, asked, endUs, waiting);
        Count full = null;
        for (Count c : asked) {
            // Whoever comes later waits behind those that wait already.
            if (full == null && (!c.has(nowUs) || c.queued > 0)) {
                full = c;
            }
        }
        if (full == null) {
            take(ticket);
            return new Told(Answer.PASSES, ticket, 0);
        }
        if (queue(nowUs, full, ticket)) {
            return new Told(Answer.WAITS, ticket, 0);
        }
        return new Told(Answer.SHED, null, pauseUs(nowUs, asked));
    }

    private static long pauseUs(long nowUs, List<Count> asked) {
        long most = 1_000;
        for (Count c : asked) {
            long until = c.untilUs(nowUs);
            // Those that wait come first.
            long ahead = c.limit.perUs() < Double.POSITIVE_INFINITY ? (long) (c.queued / c.limit.perUs()) : 0;
            most = Math.max(most, until + ahead);
        }
        return most;
    }

    private static void take(Ticket ticket) {
        ticket.holds = true;
        for (Count c : ticket.counts) {
            c.tokens -= 1;
            c.inFlight++;
        }
    }

    private Count count(long nowUs, LimitPolicy limit, String route, int tenant) {
        Key key = new Key(
                limit.name(), limit.per().byRoute() ? route : "", limit.per().byTenant() ? tenant : -1);
        Count count = counts.get(key);
        if (count == null) {
            count = new Count(
                    key, limit, nowUs, changed.contains(limit.name()) ? Math.min(1, limit.burst()) : limit.burst());
            counts.put(key, count);
            forgetOldest(nowUs);
        } else {
            count.become(nowUs, limit);
        }
        return count;
    }

    /** Guards against names without number (tenants, routes of many versions): the map stays bounded. */
    private void forgetOldest(long nowUs) {
        var oldest = counts.values().iterator();
        for (int looked = 0; oldest.hasNext() && looked < 4; looked++) {
            Count c = oldest.next();
            boolean idle = c.inFlight == 0 && c.queued == 0;
            if (idle && (nowUs - c.atUs > FORGET_US || counts.size() > MOST_COUNTS)) {
                oldest.remove();
            }
        }
    }

    /** Whether it may wait there: in a free place, or in that of a tenant who has more than its part. */
    private boolean queue(long nowUs, Count c, Ticket ticket) {
        // Half its time is left for whoever is to do it.
        long untilUs = nowUs + Math.min(c.limit.waitUs(), (ticket.endUs - nowUs) / 2);
        if (c.limit.queueLength() == 0 || untilUs <= nowUs) {
            return false;
        }
        if (c.queued >= c.limit.queueLength()) {
            ArrayDeque<Ticket> own = c.queue.get(ticket.tenant);
            if (c.longest().size() <= (own == null ? 0 : own.size()) + 1) {
                return false;
            }
            shedQueued(nowUs, c.longest().peekLast());
        }
        ticket.waitsFor = c;
        ticket.waitsUntilUs = untilUs;
        c.queue.computeIfAbsent(ticket.tenant, t -> new ArrayDeque<>()).addLast(ticket);
        c.queued++;
        busy.add(c);
        for (Count other : ticket.counts) {
            if (other != c) {
                other.askedBy.merge(c, 1, Integer::sum);
            }
        }
        return true;
    }

    private void shedQueued(long nowUs, Ticket ticket) {
        leaveQueue(ticket);
        ticket.waiting.shed(nowUs, pauseUs(nowUs, ticket.counts));
    }

    private void leaveQueue(Ticket ticket) {
        Count c = ticket.waitsFor;
        ArrayDeque<Ticket> own = c.queue.get(ticket.tenant);
        own.remove(ticket);
        if (own.isEmpty()) {
            c.queue.remove(ticket.tenant);
        }
        c.queued--;
        if (c.queued == 0) {
            busy.remove(c);
        }
        for (Count other : ticket.counts) {
            if (other != c) {
                other.askedBy.computeIfPresent(c, (k, n) -> n > 1 ? n - 1 : null);
            }
        }
        ticket.waitsFor = null;
    }

    /**
     * Lets those pass for whom there is room, a tenant at a time in turn, the longest waiting of each first.
     */
    private void serve(long nowUs, Count c) {
        boolean passed = true;
        while (passed && c.queued > 0) {
            passed = false;
            for (Integer tenant : List.copyOf(c.queue.keySet())) {
                ArrayDeque<Ticket> own = c.queue.get(tenant);
                Ticket first = own == null ? null : own.peekFirst();
                if (first != null && first.counts.stream().allMatch(a -> a.has(nowUs))) {
                    leaveQueue(first);
                    // Whoever had its turn goes behind the others.
                    ArrayDeque<Ticket> rest = c.queue.remove(tenant);
                    if (rest != null) {
                        c.queue.put(tenant, rest);
                    }
                    take(first);
                    first.waiting.passes(nowUs);
                    passed = true;
                }
            }
        }
    }

    /**
     * Sheds those that have waited too long, lets those pass that may; to be called when {@link #nextUs}
     * says.
     */
    void due(long nowUs) {
        for (Count c : List.copyOf(busy)) {
            for (ArrayDeque<Ticket> own : List.copyOf(c.queue.values())) {
                while (!own.isEmpty() && own.peekFirst().waitsUntilUs <= nowUs) {
                    shedQueued(nowUs, own.peekFirst());
                }
            }
            serve(nowUs, c);
        }
    }

    /** Limits of that name have other terms from now on, or none: those that wait are looked at again. */
    void follow(long nowUs, Map<String, LimitPolicy> limits) {
        changed.retainAll(limits.keySet());
        pers.keySet().retainAll(limits.keySet());
        limits.forEach((name, limit) -> {
            LimitPolicy.Per before = pers.put(name, limit.per());
            if (before != null && before != limit.per()) {
                changed.add(name);
            }
        });
        for (Count c : List.copyOf(counts.values())) {
            LimitPolicy next = limits.get(c.key.limit());
            if (next != null && next.per() == c.limit.per()) {
                c.become(nowUs, next);
            }
            while (c.queued > c.limit.queueLength()) {
                shedQueued(nowUs, c.longest().peekLast());
            }
            serve(nowUs, c);
        }
    }

    /** When {@link #due} is to be called next, or {@code Long.MAX_VALUE}: nobody waits. */
    long nextUs(long nowUs) {
        long next = Long.MAX_VALUE;
        for (Count c : busy) {
            for (ArrayDeque<Ticket> own : c.queue.values()) {
                Ticket first = own.peekFirst();
                next = Math.min(next, first.waitsUntilUs);
                long free = 0;
                for (Count a : first.counts) {
                    free = Math.max(free, a.inFlight < a.limit.inFlight() ? a.untilUs(nowUs) : Long.MAX_VALUE / 2);
                }
                next = Math.min(next, nowUs + Math.max(1, free));
            }
        }
        return next;
    }

    int waiting() {
        return busy.stream().mapToInt(c -> c.queued).sum();
    }

    int inFlight(String limit) {
        return counts.values().stream()
                .filter(c -> c.key.limit().equals(limit))
                .mapToInt(c -> c.inFlight)
                .sum();
    }

    int size() {
        return counts.size();
    }
}
