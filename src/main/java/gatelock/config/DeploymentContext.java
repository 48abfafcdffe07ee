package gatelock.config;

import gatelock.api.RoutePolicy;
import java.util.List;
import java.util.Map;

/**
 * What a deployment says of itself, against which a version is checked.
 *
 * @param classes place by name
 * @param terms of each class, by place
 * @param deadlinesUs of each class, by place; 0: none is stated
 * @param tenants place by name
 */
public record DeploymentContext(
        Map<String, Integer> classes,
        List<RoutePolicy> terms,
        List<Long> deadlinesUs,
        Map<String, Integer> tenants,
        List<String> zones,
        List<String> kinds) {

    /** A class's name by its place. */
    String className(int place) {
        return classes.entrySet().stream()
                .filter(e -> e.getValue() == place)
                .map(Map.Entry::getKey)
                .findFirst()
                .orElse("?");
    }
}
