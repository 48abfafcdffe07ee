package gatelock.config;

import gatelock.api.AttemptResult;
import gatelock.api.DecisionEngine;
import gatelock.api.Endpoint;
import gatelock.api.RequestConstraints;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * What the plan in force means for each request: its entry, its limits, the endpoints it may reach, its further
 * tries. A request
 * ends under the plan that took it; what limits and budgets have counted goes on from plan to plan. One
 * thread calls
 * it.
 */
public final class Admission {
    /** Traffic of a route is remembered so long. */
    private static final double TRAFFIC_US = 60e6;
    /** So much of it counts as traffic: about one request in the last minute. */
    private static final double SOME_TRAFFIC = 0.3;
    /** retries are had at once, beyond the budget's share. */
    private static final double FREE_TRIES = 3;

    private static final double BUDGET_US = 10e6;

    private final RequestLimiter limits = new RequestLimiter();
    private final PoolMembership muster = new PoolMembership();
    private final Map<String, Budget> budgets = new HashMap<>();
    /** By route; bounded by the routes of the plan in force and those left a minute ago. */
    private final Map<String, Rate> traffic = new HashMap<>();

    private final double mostDropped;
    private CompiledConfig plan;
    private long unmatched;

    /** @param mostDropped of all ready endpoints that routes reach, the share that one version may stop using */
    public Admission(double mostDropped) {
        this.mostDropped = mostDropped;
    }

    /** A count that fades. */
    private static final class Rate {
        private double count;
        private long atUs;

        private double read(long nowUs, double memoryUs) {
            if (nowUs > atUs) {
                count *= Math.exp((atUs - nowUs) / memoryUs);
                atUs = nowUs;
            }
            return count;
        }

        private void add(long nowUs, double memoryUs) {
            count = read(nowUs, memoryUs) + 1;
        }
    }

    /** retries that a policy has had, beside its requests; goes on while its name stays. */
    private static final class Budget {
        private final Rate requests = new Rate();
        private final Rate further = new Rate();
    }

    /** Where a request leads. */
    public static final class Way {
        private final CompiledConfig plan;
        private final RouteEntry entry;

        private Way(CompiledConfig plan, RouteEntry entry) {
            this.plan = plan;
            this.entry = entry;
        }

        public int classNo() {
            return entry.classNo();
        }

        public String route() {
            return entry.name();
        }

        /** What is agreed for WebSocket sessions there, or null: none are. */
        public SessionPolicy sessions() {
            return entry.sessions();
        }
    }

    /** A request under the plan that took it. */
    public final class Pass implements RequestConstraints {
        private final Way way;
        private final String pool;
        private final RetryPolicy retries;
        private final Budget budget;
        private RequestLimiter.Ticket ticket;
        private long pauseUs;

        private Pass(long nowUs, Way way) {
            this.way = way;
            this.pool = way.entry.pool() == null ? null : muster.serving(nowUs, way.entry.pool());
            this.retries = way.plan.retries(way.entry, pool);
            this.budget = budgets.computeIfAbsent(retries.name(), n -> new Budget());
            budget.requests.add(nowUs, BUDGET_US);
        }

        /** It was shed, and may come back after {@link #pauseUs}. */
        public boolean shed() {
            return pauseUs > 0;
        }

        public long pauseUs() {
            return pauseUs;
        }

        /** It waits for its limits. */
        public boolean waits() {
            return ticket != null && ticket.waits();
        }

        public String route() {
            return way.entry.name();
        }

        public ConfigVersion stamp() {
            return way.plan.stamp();
        }

        /** It is answered, or its client left. */
        public void over(long nowUs) {
            if (ticket != null) {
                ticket.over(nowUs);
            }
        }

        /**
         * Its pool may be another one's fallback by now, or gone with its plan: the one it was taken for
         * holds.
         */
        @Override
        public boolean reaches(String endpoint) {
            return pool == null
                    || (way.plan == plan
                            ? muster.stands(pool, endpoint)
                            : muster.selects(way.plan.pools().get(pool), endpoint));
        }

        @Override
        public int mostAttempts() {
            return retries.most();
        }

        @Override
        public long attemptUs() {
            return retries.attemptUs();
        }

        @Override
        public boolean goesOn(long nowUs, AttemptResult last) {
            if (!retries.after().contains(last)) {
                return false;
            }
            boolean within = budget.further.read(nowUs, BUDGET_US)
                    < FREE_TRIES + retries.budget() * budget.requests.read(nowUs, BUDGET_US);
            if (within) {
                budget.further.add(nowUs, BUDGET_US);
            }
            return within;
        }
    }

    /** The plan in force, or null before there was one. */
    public CompiledConfig plan() {
        return plan;
    }

    /** Where a request leads; null: no entry is for it. */
    public Way way(RequestAttributes asked) {
        RouteEntry entry = plan == null ? null : plan.entry(asked);
        return entry == null ? null : new Way(plan, entry);
    }

    /**
     * 0, or the status with which a request is turned away whatever its class: an endpoint may read its path as
     * another's, or
     * no entry is for it and the plan refuses such.
     */
    public int refusal(RequestAttributes asked, Way way) {
        unmatched += way == null ? 1 : 0;
        return RouteMatch.odd(asked.path()) ? 400 : way == null && plan.refusesUnmatched() ? 404 : 0;
    }

    /** A request that is whole asks to be taken: it passes, waits or is shed at once. */
    public Pass ask(long nowUs, Way way, int tenant, long endUs, QueuedRequest waiting) {
        traffic.computeIfAbsent(way.entry.name(), n -> new Rate()).add(nowUs, TRAFFIC_US);
        // It may have been matched before another version came in force; it goes on by the one it was matched
        // by.
        Pass pass = new Pass(nowUs, way);
        RequestLimiter.Told told = limits.ask(nowUs, current(way), way.entry.name(), tenant, endUs, waiting);
        pass.ticket = told.ticket();
        pass.pauseUs = told.answer() == RequestLimiter.Answer.SHED ? told.pauseUs() : 0;
        return pass;
    }

    /** A limit's terms are those in force, also for a request matched by the version before. */
    private List<LimitPolicy> current(Way way) {
        if (way.plan == plan) {
            return way.entry.limits();
        }
        return way.entry.limits().stream()
                .map(l -> {
                    LimitPolicy now = plan.limits().get(l.name());
                    return now != null && now.per() == l.per() ? now : l;
                })
                .toList();
    }

    /** To be called when {@link #nextUs} says. */
    public void due(long nowUs) {
        limits.due(nowUs);
    }

    /** When {@link #due} is to be called next, or {@code Long.MAX_VALUE}. */
    public long nextUs(long nowUs) {
        return limits.nextUs(nowUs);
    }

    /** The list of endpoints, or a part of it; {@code labels} that endpoints bear, by endpoint. */
    public void listed(
            long nowUs, DecisionEngine.ListForm form, List<Endpoint> entries, Map<String, Map<String, String>> labels) {
        muster.listed(nowUs, form, entries, labels);
    }

    /**
     * What makes a plan that is sound by itself a danger beside the one in force. Guards against a version
     * made from an
     * old or cut copy, which is the most that goes wrong with configurations that are well formed. Should
     * hold
     * whatever was lost; harms an operator who means it, who says so under removes, or does it in two steps.
     */
    public List<Diagnostic> beside(long nowUs, CompiledConfig next) {
        List<Diagnostic> findings = new ArrayList<>();
        if (plan == null) {
            return findings;
        }
        for (Map.Entry<String, Rate> e : new TreeMap<>(traffic).entrySet()) {
            if (plan.entries().containsKey(e.getKey())
                    && !next.entries().containsKey(e.getKey())
                    && !next.removes().contains(e.getKey())
                    && e.getValue().read(nowUs, TRAFFIC_US) >= SOME_TRAFFIC) {
                findings.add(new Diagnostic(
                        "B-TRAFFIC",
                        true,
                        "/routes",
                        0,
                        0,
                        "route " + e.getKey() + " is gone, and had reqs in the last minute",
                        "name it under removes, or put it back"));
            }
        }
        int[] endpoints = muster.reachedAndNot(plan, next);
        if (endpoints[1] > mostDropped * endpoints[0]) {
            findings.add(new Diagnostic(
                    "B-UNITS",
                    true,
                    "/pools",
                    0,
                    0,
                    endpoints[1] + " of " + endpoints[0] + " units that routes reach would get no reqs any more",
                    "do it in steps of less than " + Math.round(mostDropped * 100) + "%, or mend the pools"));
        }
        return findings;
    }

    /** From now on this plan is in force. */
    public void follow(long nowUs, CompiledConfig next) {
        plan = next;
        muster.follow(nowUs, next);
        limits.follow(nowUs, next.limits());
        traffic.keySet().removeIf(n -> !next.entries().containsKey(n));
        // Those still held by requests of the version before go on there until these end.
        budgets.keySet().retainAll(next.policies());
    }

    /** For the operator: what waits, what is in flight by limit, which pools serve in place of others. */
    public Map<String, Object> state(long nowUs) {
        Map<String, Object> state = new LinkedHashMap<>();
        state.put("waiting", limits.waiting());
        state.put("counts", limits.size());
        state.put("unmatched", unmatched);
        if (plan != null) {
            Map<String, Object> inFlight = new TreeMap<>();
            plan.limits().keySet().forEach(n -> inFlight.put(n, limits.inFlight(n)));
            state.put("inFlight", inFlight);
            Map<String, Object> pools = new TreeMap<>();
            plan.pools()
                    .keySet()
                    .forEach(
                            n -> pools.put(n, Map.of("ready", muster.ready(n), "served by", muster.serving(nowUs, n))));
            state.put("pools", pools);
        }
        return state;
    }
}
