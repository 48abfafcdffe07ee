package gatelock.config;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * A configuration version compiled for use on requests. Immutable, because a request completes under the version that
 * matched it even after another version has become active.
 */
public final class CompiledConfig {
    private final ConfigVersion version;
    private final String author;
    private final String note;
    private final boolean rejectsUnmatched;
    private final List<RouteEntry> routes;
    private final Map<String, RouteEntry> routesByName = new LinkedHashMap<>();
    private final RouteTable<RouteEntry> routeTable;
    private final Map<String, Pool> pools;
    private final Map<String, RetryPolicy> poolRetryPolicies;
    private final RetryPolicy defaultRetryPolicy;
    private final Map<String, LimitPolicy> limits;
    private final Collection<String> removedRoutes;
    private final Map<String, List<String>> fallbackChains = new HashMap<>();
    /** The distinct selection criteria of all pools; pools with the same criteria share one entry. */
    private final List<Pool> selectors = new ArrayList<>();

    private final Map<String, Integer> selectorIndexByPool = new HashMap<>();
    /** The selection criteria of the pools that at least one route reaches, directly or by fallback. */
    private final List<Pool> reachableSelectors = new ArrayList<>();

    private final boolean reachesAllEndpoints;
    private final Set<String> retryPolicyNames = new HashSet<>();

    CompiledConfig(
            ConfigVersion version,
            String author,
            String note,
            boolean rejectsUnmatched,
            List<RouteEntry> routes,
            Map<String, Pool> pools,
            Map<String, RetryPolicy> poolRetryPolicies,
            RetryPolicy defaultRetryPolicy,
            Map<String, LimitPolicy> limits,
            Collection<String> removedRoutes) {
        this.version = version;
        this.author = author;
        this.note = note;
        this.rejectsUnmatched = rejectsUnmatched;
        this.routes = List.copyOf(routes);
        this.pools = pools;
        this.poolRetryPolicies = poolRetryPolicies;
        this.defaultRetryPolicy = defaultRetryPolicy;
        this.limits = limits;
        this.removedRoutes = removedRoutes;
        for (RouteEntry route : routes) {
            routesByName.put(route.name(), route);
        }
        routeTable = new RouteTable<>(routes.stream().map(RouteEntry::match).toList(), routes);
        indexPools();
        reachesAllEndpoints = !rejectsUnmatched || routes.stream().anyMatch(route -> route.pool() == null);
        indexReachable();
    }

    private void indexPools() {
        Map<Pool, Integer> indexBySelector = new HashMap<>();
        for (Pool pool : pools.values()) {
            fallbackChains.put(pool.name(), followFallbacks(pool.name()));
            Pool selector = pool.selector();
            Integer index = indexBySelector.get(selector);
            if (index == null) {
                index = selectors.size();
                selectors.add(selector);
                indexBySelector.put(selector, index);
            }
            selectorIndexByPool.put(pool.name(), index);
        }
    }

    private List<String> followFallbacks(String pool) {
        Set<String> chain = new LinkedHashSet<>();
        String current = pool;
        while (current != null && pools.containsKey(current) && chain.add(current)) {
            current = pools.get(current).fallback();
        }
        return List.copyOf(chain);
    }

    private void indexReachable() {
        Set<String> reachablePools = new TreeSet<>();
        for (RouteEntry route : routes) {
            retryPolicyNames.add(retryPolicy(route, null).name());
            for (String pool : fallbackChain(route.pool())) {
                reachablePools.add(pool);
                retryPolicyNames.add(retryPolicy(route, pool).name());
            }
        }
        Set<Integer> reachableIndices = new LinkedHashSet<>();
        reachablePools.forEach(pool -> reachableIndices.add(selectorIndexByPool.get(pool)));
        reachableIndices.forEach(index -> reachableSelectors.add(selectors.get(index)));
    }

    /** Returns the identity of this version. */
    public ConfigVersion version() {
        return version;
    }

    /** Returns the author named in the version's text, or an empty string. */
    public String author() {
        return author;
    }

    /** Returns the author's note, or an empty string. */
    public String note() {
        return note;
    }

    /** Returns the number of routes, not counting abstract routes. */
    public int routeCount() {
        return routes.size();
    }

    /**
     * Returns whether requests that match no route are answered with 404; otherwise their class determines the routing.
     */
    boolean rejectsUnmatched() {
        return rejectsUnmatched;
    }

    /** Returns the first route that matches a request, or null if there is none. */
    RouteEntry findRoute(RequestAttributes request) {
        return routeTable.findFirst(request);
    }

    /** Returns up to {@code maxRoutes} routes whose path is a prefix of {@code path}. */
    List<RouteEntry> routesAlongPath(List<String> path, int maxRoutes) {
        List<RouteEntry> found = new ArrayList<>();
        routeTable.findFirstAlongPath(path, (position, match) -> {
            found.add(routes.get(position));
            return found.size() >= maxRoutes;
        });
        return found;
    }

    /** Returns the routes by name, in their order in the version. */
    Map<String, RouteEntry> routesByName() {
        return routesByName;
    }

    /** Returns the pools by name. */
    Map<String, Pool> pools() {
        return pools;
    }

    /** Returns the limits by name. */
    Map<String, LimitPolicy> limits() {
        return limits;
    }

    /** Returns the names of the routes that the version declares as intentionally removed. */
    Collection<String> removedRoutes() {
        return removedRoutes;
    }

    /**
     * Returns the retry policy for requests of a route that the given pool serves: the route's policy if it has one,
     * otherwise the pool's, otherwise the default.
     */
    RetryPolicy retryPolicy(RouteEntry route, String pool) {
        return route.retryPolicy() != null
                ? route.retryPolicy()
                : poolRetryPolicies.getOrDefault(pool, defaultRetryPolicy);
    }

    /** Returns the distinct selection criteria of all pools, as returned by {@link Pool#selector()}. */
    List<Pool> selectors() {
        return selectors;
    }

    /** Returns the index of a pool's selection criteria in {@link #selectors()}. */
    int selectorIndex(Pool pool) {
        return selectorIndexByPool.get(pool.name());
    }

    /** Returns whether any request can reach endpoints with these properties. */
    boolean reaches(int zone, int instanceType, Map<String, String> labels) {
        return reachesAllEndpoints
                || reachableSelectors.stream().anyMatch(selector -> selector.selects(zone, instanceType, labels));
    }

    /** Returns the names of all retry policies that can apply to a request. */
    Set<String> retryPolicyNames() {
        return retryPolicyNames;
    }

    /** Returns a pool followed by its fallbacks in order; null, which means all endpoints, gives an empty list. */
    List<String> fallbackChain(String pool) {
        return pool == null ? List.of() : fallbackChains.get(pool);
    }
}
