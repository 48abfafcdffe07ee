package gatelock.config;

import gatelock.api.DecisionEngine;
import gatelock.api.Endpoint;
import java.util.BitSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Which endpoints stand in which pool of the plan in force, and which pool serves in place of another. Endpoints are
 * kept by their
 * sort, which is all that a pool can choose by: a new plan costs as much as there are sorts times ways to
 * choose, whatever the
 * number of endpoints, routes and pools.
 */
final class PoolMembership {
    /** How long it takes until a pool that lost endpoints for good is measured by those it has. */
    private static final double MEMORY_US = 300e6;
    /** Back from a fallback only with so many times the least share: no swinging at the bound. */
    private static final double BACK_AT = 1.1;

    private final Map<String, Member> endpoints = new HashMap<>();
    private final Map<Sort, Sort> sorts = new HashMap<>();
    private Map<String, Stand> stands = Map.of();
    private int[] ready = new int[0];
    private CompiledConfig plan;

    /** Endpoints alike in all that a pool can choose by. */
    private static final class Sort {
        private final int zone;
        private final int kind;
        private final Map<String, String> labels;
        private int endpoints;
        private int ready;
        /** The selectors of the plan in force that choose them. */
        private BitSet chosenBy = new BitSet();

        Sort(int zone, int kind, Map<String, String> labels) {
            this.zone = zone;
            this.kind = kind;
            this.labels = labels;
        }

        @Override
        public boolean equals(Object other) {
            return other instanceof Sort s && zone == s.zone && kind == s.kind && labels.equals(s.labels);
        }

        @Override
        public int hashCode() {
            return 31 * (31 * zone + kind) + labels.hashCode();
        }
    }

    private record Member(Sort sort, boolean ready) {}

    /** One pool now. */
    private static final class Stand {
        private final Pool pool;
        private final int selector;
        /** What it lately had, fading to what it has. */
        private double usual;

        private long usualAtUs;
        private boolean fallen;

        Stand(Pool pool, int selector) {
            this.pool = pool;
            this.selector = selector;
        }

        /** Updates and tells how many endpoints it lately had. */
        double usual(long nowUs, int ready) {
            double fade = nowUs > usualAtUs ? Math.exp((usualAtUs - nowUs) / MEMORY_US) : 1;
            usual = Math.max(ready, ready + (usual - ready) * fade);
            usualAtUs = nowUs;
            return usual;
        }
    }

    /** The list of endpoints, or a part of it, has come in. */
    void listed(
            long nowUs, DecisionEngine.ListForm form, List<Endpoint> entries, Map<String, Map<String, String>> borne) {
        if (form == DecisionEngine.ListForm.FAILED) {
            return;
        }
        // What each pool has had until now is noted before it changes.
        stands.values().forEach(s -> s.usual(nowUs, ready[s.selector]));
        if (form != DecisionEngine.ListForm.DELTA) {
            Set<String> named = new HashSet<>();
            entries.forEach(l -> named.add(l.endpoint()));
            for (Iterator<Map.Entry<String, Member>> all = endpoints.entrySet().iterator(); all.hasNext(); ) {
                Map.Entry<String, Member> e = all.next();
                if (!named.contains(e.getKey())) {
                    all.remove();
                    count(e.getValue(), -1);
                }
            }
        }
        for (Endpoint l : entries) {
            Member was = endpoints.remove(l.endpoint());
            if (was != null) {
                count(was, -1);
            }
            if (l.health() != Endpoint.Health.GONE) {
                Sort sort = sort(new Sort(l.zone(), l.kind(), borne.getOrDefault(l.endpoint(), Map.of())));
                Member is = new Member(sort, l.health() == Endpoint.Health.READY);
                endpoints.put(l.endpoint(), is);
                count(is, 1);
            }
        }
        sorts.keySet().removeIf(s -> s.endpoints == 0);
    }

    private Sort sort(Sort like) {
        Sort sort = sorts.get(like);
        if (sort == null) {
            sort = like;
            sorts.put(sort, sort);
            choose(sort);
        }
        return sort;
    }

    private void choose(Sort sort) {
        sort.chosenBy = new BitSet();
        for (int i = 0; plan != null && i < plan.selectors().size(); i++) {
            sort.chosenBy.set(i, plan.selectors().get(i).selects(sort.zone, sort.kind, sort.labels));
        }
    }

    private void count(Member member, int by) {
        member.sort.endpoints += by;
        if (member.ready) {
            member.sort.ready += by;
            member.sort.chosenBy.stream().forEach(i -> ready[i] += by);
        }
    }

    /** Another plan is in force; a pool that stays as it was keeps what it lately had. */
    void follow(long nowUs, CompiledConfig next) {
        Map<String, Stand> before = stands;
        int[] readyBefore = ready;
        plan = next;
        ready = new int[next.selectors().size()];
        for (Sort sort : sorts.values()) {
            choose(sort);
            for (int i = sort.chosenBy.nextSetBit(0); i >= 0; i = sort.chosenBy.nextSetBit(i + 1)) {
                ready[i] += sort.ready;
            }
        }
        stands = new HashMap<>();
        for (Pool pool : next.pools().values()) {
            Stand is = new Stand(pool, next.selector(pool));
            Stand was = before.get(pool.name());
            if (was != null && was.pool.equals(pool)) {
                is.usual = was.usual(nowUs, readyBefore[was.selector]);
                is.usualAtUs = nowUs;
                is.fallen = was.fallen;
            }
            stands.put(pool.name(), is);
        }
    }

    /** The pool that serves in place of this one now: itself, or the first fallback that has endpoints enough. */
    String serving(long nowUs, String pool) {
        List<String> chain = plan.chain(pool);
        for (String name : chain) {
            Stand s = stands.get(name);
            double least = s.pool.leastShare() * s.usual(nowUs, ready[s.selector]);
            s.fallen = ready[s.selector] == 0
                    || ready[s.selector] < (s.fallen ? Math.min(s.usual, least * BACK_AT) : least);
            if (!s.fallen) {
                return name;
            }
        }
        // None has enough: what little the pool itself has, or else the first of the others that has any.
        for (String name : chain) {
            if (ready(name) > 0) {
                return name;
            }
        }
        return pool;
    }

    /** Whether an endpoint stands in a pool of the plan in force. */
    boolean stands(String pool, String endpoint) {
        Member member = endpoints.get(endpoint);
        Stand s = stands.get(pool);
        return member != null && s != null && member.sort.chosenBy.get(s.selector);
    }

    /** The same of a pool whose plan is in force no more. */
    boolean selects(Pool pool, String endpoint) {
        Member member = endpoints.get(endpoint);
        return member != null && pool.selects(member.sort.zone, member.sort.kind, member.sort.labels);
    }

    int ready(String pool) {
        Stand s = stands.get(pool);
        return s == null ? 0 : ready[s.selector];
    }

    /** Ready endpoints that a plan's routes can reach, and of these, how many another's can not. */
    int[] reachedAndNot(CompiledConfig by, CompiledConfig other) {
        int reached = 0;
        int not = 0;
        for (Sort sort : sorts.values()) {
            if (by.reaches(sort.zone, sort.kind, sort.labels)) {
                reached += sort.ready;
                not += other.reaches(sort.zone, sort.kind, sort.labels) ? 0 : sort.ready;
            }
        }
        return new int[] {reached, not};
    }
}
