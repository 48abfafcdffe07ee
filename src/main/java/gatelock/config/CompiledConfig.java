package gatelock.config;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** A version made ready for use. It never changes; a request ends under the one that took it. */
public final class CompiledConfig {
    private final ConfigVersion stamp;
    private final String by;
    private final String note;
    private final boolean refusesUnmatched;
    private final Map<String, RouteEntry> entries = new LinkedHashMap<>();
    private final Map<String, Pool> pools;
    private final Map<String, RetryPolicy> poolRetries;
    private final RetryPolicy defaultRetries;
    private final Map<String, LimitPolicy> limits;
    private final Collection<String> removes;
    private final List<RouteEntry> byPlace;
    private final RouteTable<RouteEntry> table;
    private final Map<String, List<String>> chains = new HashMap<>();
    /** Ways to choose endpoints that differ; many pools may share one. */
    private final List<Pool> selectors = new ArrayList<>();

    private final Map<String, Integer> selectorOf = new HashMap<>();
    private final List<Pool> reaching = new ArrayList<>();
    private final boolean reachesAll;
    private final Set<String> policies = new HashSet<>();

    CompiledConfig(
            ConfigVersion stamp,
            String by,
            String note,
            boolean refusesUnmatched,
            List<RouteEntry> routes,
            Map<String, Pool> pools,
            Map<String, RetryPolicy> poolRetries,
            RetryPolicy defaultRetries,
            Map<String, LimitPolicy> limits,
            Collection<String> removes) {
        this.stamp = stamp;
        this.by = by;
        this.note = note;
        this.refusesUnmatched = refusesUnmatched;
        this.pools = pools;
        this.poolRetries = poolRetries;
        this.defaultRetries = defaultRetries;
        this.limits = limits;
        this.removes = removes;
        this.byPlace = List.copyOf(routes);
        List<RouteMatch> matches = new ArrayList<>(routes.size());
        for (RouteEntry e : routes) {
            entries.put(e.name(), e);
            matches.add(e.match());
        }
        table = new RouteTable<>(matches, routes);
        Map<Pool, Integer> alike = new HashMap<>();
        pools.values().forEach(p -> {
            chains.put(p.name(), chainFrom(p.name()));
            selectorOf.put(p.name(), alike.computeIfAbsent(p.bare(), b -> {
                selectors.add(b);
                return selectors.size() - 1;
            }));
        });
        Set<String> reachingPools = new HashSet<>();
        boolean all = !refusesUnmatched;
        for (RouteEntry e : routes) {
            all |= e.pool() == null;
            policies.add(retries(e, null).name());
            for (String pool : chain(e.pool())) {
                reachingPools.add(pool);
                policies.add(retries(e, pool).name());
            }
        }
        reachesAll = all;
        Set<Integer> seen = new HashSet<>();
        reachingPools.stream()
                .sorted()
                .map(selectorOf::get)
                .filter(seen::add)
                .forEach(i -> reaching.add(selectors.get(i)));
    }

    public ConfigVersion stamp() {
        return stamp;
    }

    public String by() {
        return by;
    }

    public String note() {
        return note;
    }

    public int routes() {
        return entries.size();
    }

    boolean refusesUnmatched() {
        return refusesUnmatched;
    }

    /** The entry that a request meets, or null. */
    RouteEntry entry(RequestAttributes asked) {
        return table.first(asked);
    }

    /** Entries whose path is the start of this one, some of them where there are very many. */
    List<RouteEntry> along(List<String> path, int most) {
        List<RouteEntry> found = new ArrayList<>();
        table.firstAlong(path, (place, match) -> {
            found.add(byPlace.get(place));
            return found.size() >= most;
        });
        return found;
    }

    Map<String, RouteEntry> entries() {
        return entries;
    }

    Map<String, Pool> pools() {
        return pools;
    }

    Map<String, LimitPolicy> limits() {
        return limits;
    }

    Collection<String> removes() {
        return removes;
    }

    /**
     * What retries a request of an entry may have while that pool serves it: the entry's, its pool's, the
     * default.
     */
    RetryPolicy retries(RouteEntry entry, String pool) {
        return entry.retries() != null ? entry.retries() : poolRetries.getOrDefault(pool, defaultRetries);
    }

    /** Ways to choose endpoints that differ, as pools without a name. */
    List<Pool> selectors() {
        return selectors;
    }

    /** Which of these a pool chooses by. */
    int selector(Pool pool) {
        return selectorOf.get(pool.name());
    }

    /** Whether some request can reach endpoints of this sort. */
    boolean reaches(int zone, int kind, Map<String, String> labels) {
        return reachesAll || reaching.stream().anyMatch(p -> p.selects(zone, kind, labels));
    }

    /** Names of all policies that some request can come under. */
    Set<String> policies() {
        return policies;
    }

    /** A pool and all that may serve in its place, in order; none for no pool. */
    List<String> chain(String pool) {
        return pool == null ? List.of() : chains.get(pool);
    }

    private List<String> chainFrom(String pool) {
        List<String> chain = new ArrayList<>();
        for (String at = pool;
                at != null && pools.containsKey(at) && !chain.contains(at);
                at = pools.get(at).fallback()) {
            chain.add(at);
        }
        return chain;
    }
}
