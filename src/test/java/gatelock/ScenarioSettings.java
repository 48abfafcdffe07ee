package gatelock;

import gatelock.api.RelaySettings;
import gatelock.api.RolloutPolicy;
import gatelock.api.RoutePolicy;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** The settings of the decision engine, as set in the {@code charter} steps of a scenario. */
final class ScenarioSettings {
    private ScenarioSettings() {}

    /** Creates the settings, with defaults for all values that the scenario does not set. */
    static RelaySettings of(ScenarioValues settings) {
        return new RelaySettings(
                7,
                settings.integer("relays", 1),
                settings.integer("number", 0),
                routes(settings),
                List.of(),
                1,
                settings.integer("tries", 4),
                true,
                true,
                1_000_000,
                settings.has("must-ask"),
                0.34,
                settings.timeUs("warm", "2s"),
                2.5,
                1_000_000,
                settings.number("opening", 0),
                settings.timeUs("kept", "20s"),
                rollout(settings));
    }

    /** Parses routes such as {@code retriable,deduped:zone}. */
    private static List<RoutePolicy> routes(ScenarioValues settings) {
        List<RoutePolicy> routes = new ArrayList<>();
        for (String route : settings.text("routes", "retriable").split(",", -1)) {
            String[] parts = route.split(":", -1);
            RoutePolicy.DedupScope dedupScope = parts.length > 1
                    ? ScenarioValues.parseConstant(RoutePolicy.DedupScope.class, parts[1])
                    : RoutePolicy.DedupScope.ALL;
            routes.add(new RoutePolicy(
                    ScenarioValues.parseConstant(RoutePolicy.RetrySafety.class, parts[0]),
                    dedupScope,
                    settings.timeUs("remember", "3s"),
                    1_000_000,
                    routes.size() + 1));
        }
        return routes;
    }

    private static RolloutPolicy rollout(ScenarioValues settings) {
        double[] caps = Arrays.stream(settings.text("caps", "0.2,0.6,1").split(",", -1))
                .mapToDouble(Double::parseDouble)
                .toArray();
        return new RolloutPolicy(
                settings.constant(RolloutPolicy.PromotionMode.class, "gate", "first_voice"),
                settings.timeUs("least", "1s"),
                6_000_000,
                1_200_000,
                caps,
                settings.integer("guarded", 0),
                settings.has("per-route"),
                settings.has("one-way"),
                settings.number("free", 2),
                settings.integer("back-votes", 1),
                settings.number("votes-per-s", 50),
                settings.has("counts"));
    }
}
