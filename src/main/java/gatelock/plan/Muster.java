package gatelock.plan;

import gatelock.relay.Gate;
import gatelock.relay.Listed;

import java.util.BitSet;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Which units stand in which pool of the plan in force, and which pool serves in place of another. Kept up as lists and
 * versions come, so that a req asks one bit of a unit.
 */
final class Muster {
    /** How long it takes until a pool that lost units for good is measured by those it has. */
    private static final double MEMORY_US = 300e6;
    /** Back from a fallback only with so many times the least share: no swinging at the bound. */
    private static final double BACK_AT = 1.1;

    private final Map<String, Listed> units = new HashMap<>();
    private final Map<String, Map<String, String>> labels = new HashMap<>();
    private Map<String, Stand> stands = Map.of();
    private Map<String, BitSet> pools = new HashMap<>();
    private Plan plan;

    /** One pool now. */
    private static final class Stand {
        private final Pool pool;
        private final int bit;
        private int ready;
        /** What it lately had, fading to what it has. */
        private double usual;
        private long usualAtUs;
        private boolean fallen;

        Stand(Pool pool, int bit) {
            this.pool = pool;
            this.bit = bit;
        }

        /** Updates and tells how many units it lately had. */
        double usual(long nowUs) {
            double fade = nowUs > usualAtUs ? Math.exp((usualAtUs - nowUs) / MEMORY_US) : 1;
            usual = Math.max(ready, ready + (usual - ready) * fade);
            usualAtUs = nowUs;
            return usual;
        }
    }

    /** The list of units, or a part of it, has come in. */
    void listed(long nowUs, Gate.ListForm form, List<Listed> entries, Map<String, Map<String, String>> borne) {
        if (form == Gate.ListForm.FAILED) {
            return;
        }
        if (form != Gate.ListForm.DELTA) {
            Set<String> named = new HashSet<>();
            entries.forEach(l -> named.add(l.unit()));
            List.copyOf(units.keySet()).stream().filter(u -> !named.contains(u)).forEach(u -> drop(nowUs, u));
        }
        for (Listed l : entries) {
            drop(nowUs, l.unit());
            if (l.health() != Listed.Health.GONE) {
                units.put(l.unit(), l);
                labels.put(l.unit(), borne.getOrDefault(l.unit(), Map.of()));
                enter(nowUs, l);
            }
        }
    }

    private void drop(long nowUs, String unit) {
        Listed was = units.remove(unit);
        BitSet in = pools.remove(unit);
        labels.remove(unit);
        if (was != null && was.health() == Listed.Health.READY && in != null) {
            stands.values().stream().filter(s -> in.get(s.bit)).forEach(s -> {
                s.usual(nowUs);
                s.ready--;
            });
        }
    }

    private void enter(long nowUs, Listed l) {
        BitSet in = new BitSet(stands.size());
        for (Stand s : stands.values()) {
            if (s.pool.selects(l.zone(), l.kind(), labels.get(l.unit()))) {
                in.set(s.bit);
                if (l.health() == Listed.Health.READY) {
                    s.usual(nowUs);
                    s.ready++;
                }
            }
        }
        pools.put(l.unit(), in);
    }

    /** Another plan is in force; a pool of a name that stays keeps what it lately had. */
    void follow(long nowUs, Plan next) {
        Map<String, Stand> before = stands;
        stands = new HashMap<>();
        pools = new HashMap<>();
        plan = next;
        if (next != null) {
            next.pools().values().forEach(p -> stands.put(p.name(), new Stand(p, stands.size())));
        }
        units.values().forEach(l -> enter(nowUs, l));
        stands.values().forEach(s -> {
            Stand was = before.get(s.pool.name());
            if (was != null && was.pool.equals(s.pool)) {
                s.usual = was.usual(nowUs);
                s.usualAtUs = nowUs;
                s.fallen = was.fallen;
            }
        });
    }

    /** The pool that serves in place of this one now: itself, or the first fallback that has units enough. */
    String serving(long nowUs, String pool) {
        for (String name : plan.chain(pool)) {
            Stand s = stands.get(name);
            double least = s.pool.leastShare() * s.usual(nowUs);
            s.fallen = s.ready == 0 || s.ready < (s.fallen ? Math.min(s.usual, least * BACK_AT) : least);
            if (!s.fallen) {
                return name;
            }
        }
        // None has enough: what little the pool itself has, or else the last resort that has any.
        return plan.chain(pool).stream().filter(n -> stands.get(n).ready > 0).findFirst().orElse(pool);
    }

    boolean stands(String pool, String unit) {
        BitSet in = pools.get(unit);
        Stand s = stands.get(pool);
        return in != null && s != null && in.get(s.bit);
    }

    /** The same of a pool whose plan is in force no more. */
    boolean selects(Pool pool, String unit) {
        Listed l = units.get(unit);
        return l != null && pool.selects(l.zone(), l.kind(), labels.get(unit));
    }

    int ready(String pool) {
        return stands.containsKey(pool) ? stands.get(pool).ready : 0;
    }

    /** Ready units that a plan's routes can reach, by their pools and fallbacks; a route without a pool reaches all. */
    Set<String> reached(Plan by) {
        Set<String> served = new HashSet<>();
        for (Entry e : by.entries().values()) {
            if (e.pool() == null) {
                return ready();
            }
            served.addAll(by.chain(e.pool()));
        }
        if (!by.refusesUnmatched()) {
            return ready();
        }
        Collection<Pool> all = served.stream().map(by.pools()::get).toList();
        Set<String> reached = new HashSet<>();
        for (Listed l : units.values()) {
            if (l.health() == Listed.Health.READY
                    && all.stream().anyMatch(p -> p.selects(l.zone(), l.kind(), labels.get(l.unit())))) {
                reached.add(l.unit());
            }
        }
        return reached;
    }

    Set<String> ready() {
        Set<String> ready = new HashSet<>();
        units.values().stream().filter(l -> l.health() == Listed.Health.READY).forEach(l -> ready.add(l.unit()));
        return ready;
    }
}
