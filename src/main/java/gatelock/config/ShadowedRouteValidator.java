package gatelock.config;

import java.util.List;
import java.util.function.BiPredicate;

/** Finds routes that no request can reach because an earlier route matches all of their requests. */
final class ShadowedRouteValidator {
    /**
     * The maximum number of earlier routes compared with one route; beyond it a warning says that the check gave up.
     */
    private static final int MAX_COMPARED_ROUTES = 2_000;

    private final ValidationContext context;

    /** Creates a validator that adds its diagnostics to the context. */
    ShadowedRouteValidator(ValidationContext context) {
        this.context = context;
    }

    /** A search condition that accepts earlier routes that cover a given one, and counts the comparisons. */
    private static final class CoverSearch implements BiPredicate<Integer, RouteMatch> {
        private final int position;
        private final RouteMatch match;
        private int compared;

        private CoverSearch(int position, RouteMatch match) {
            this.position = position;
            this.match = match;
        }

        @Override
        public boolean test(Integer otherPosition, RouteMatch other) {
            return otherPosition < position && compared++ < MAX_COMPARED_ROUTES && other.covers(match);
        }

        private boolean gaveUp() {
            return compared >= MAX_COMPARED_ROUTES;
        }
    }

    /** Adds a diagnostic for each shadowed route, and for each route that could not be checked. */
    void validate() {
        List<ResolvedConfig.RouteDefinition> routes = context.config().routes().stream()
                .filter(route -> !route.isAbstract())
                .toList();
        List<RouteMatch> matches =
                routes.stream().map(ResolvedConfig.RouteDefinition::match).toList();
        RouteTable<ResolvedConfig.RouteDefinition> table = new RouteTable<>(matches, routes);
        for (int i = 0; i < routes.size(); i++) {
            CoverSearch search = new CoverSearch(i, matches.get(i));
            int shadowing = table.findFirstAlongPath(matches.get(i).segments(), search);
            if (shadowing >= 0 && shadowing < i) {
                reportShadowed(routes.get(i), routes.get(shadowing));
            } else if (search.gaveUp()) {
                reportUnchecked(routes.get(i));
            }
        }
    }

    private void reportShadowed(ResolvedConfig.RouteDefinition route, ResolvedConfig.RouteDefinition shadowing) {
        context.error(
                "M-SHADOWED",
                route.pointer(),
                "no request ever reaches route " + route.name() + ": all of its requests match route "
                        + shadowing.name() + " before it",
                "put it before that one, or take it out");
    }

    private void reportUnchecked(ResolvedConfig.RouteDefinition route) {
        context.warning(
                "M-UNCHECKED",
                route.pointer(),
                "whether an earlier route shadows " + route.name() + " was not checked: too many share its path",
                "give them different paths");
    }
}
