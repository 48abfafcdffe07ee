package gatelock;

import gatelock.api.RelaySettings;
import gatelock.api.RolloutPolicy;
import gatelock.api.RoutePolicy;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** The settings of the decision module that a scenario's {@code charter} steps name. */
final class ScenarioSettings {
    private ScenarioSettings() {}

    static RelaySettings of(ScenarioValues charter) {
        return new RelaySettings(
                7,
                charter.integer("relays", 1),
                charter.integer("number", 0),
                routes(charter),
                List.of(),
                1,
                charter.integer("tries", 4),
                true,
                true,
                1_000_000,
                charter.has("must-ask"),
                0.34,
                charter.timeUs("warm", "2s"),
                2.5,
                1_000_000,
                charter.number("opening", 0),
                charter.timeUs("kept", "20s"),
                rollout(charter));
    }

    /** Reads routes such as {@code retriable,deduped:first}. */
    private static List<RoutePolicy> routes(ScenarioValues charter) {
        List<RoutePolicy> routes = new ArrayList<>();
        for (String route : charter.text("routes", "retriable").split(",", -1)) {
            String[] parts = route.split(":", -1);
            RoutePolicy.DedupScope group = parts.length > 1
                    ? ScenarioValues.parseConstant(RoutePolicy.DedupScope.class, parts[1])
                    : RoutePolicy.DedupScope.ALL;
            routes.add(new RoutePolicy(
                    ScenarioValues.parseConstant(RoutePolicy.RetrySafety.class, parts[0]),
                    group,
                    charter.timeUs("remember", "3s"),
                    1_000_000,
                    routes.size() + 1));
        }
        return routes;
    }

    private static RolloutPolicy rollout(ScenarioValues charter) {
        double[] caps = Arrays.stream(charter.text("caps", "0.2,0.6,1").split(",", -1))
                .mapToDouble(Double::parseDouble)
                .toArray();
        return new RolloutPolicy(
                charter.constant(RolloutPolicy.PromotionMode.class, "gate", "first_voice"),
                charter.timeUs("least", "1s"),
                6_000_000,
                1_200_000,
                caps,
                charter.integer("guarded", 0),
                charter.has("per-route"),
                charter.has("one-way"),
                charter.number("free", 2),
                charter.integer("back-votes", 1),
                charter.number("votes-per-s", 50),
                charter.has("counts"));
    }
}
