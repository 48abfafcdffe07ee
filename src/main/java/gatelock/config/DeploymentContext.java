package gatelock.config;

import gatelock.api.RoutePolicy;
import java.util.List;
import java.util.Map;

/**
 * The deployment settings against which a configuration version is validated and compiled.
 *
 * @param classIndices index of each request class by its name
 * @param routePolicies the policy of each class, by class index
 * @param deadlinesUs the deadline of each class in microseconds, by class index; 0 if the class has none
 * @param tenantIndices index of each tenant by its name
 * @param zones names of the zones, by zone index
 * @param instanceTypes names of the instance types, by instance type index
 */
public record DeploymentContext(
        Map<String, Integer> classIndices,
        List<RoutePolicy> routePolicies,
        List<Long> deadlinesUs,
        Map<String, Integer> tenantIndices,
        List<String> zones,
        List<String> instanceTypes) {

    /** Returns the name of the class with that index, or {@code "?"} if there is none. */
    String className(int classIndex) {
        for (Map.Entry<String, Integer> entry : classIndices.entrySet()) {
            if (entry.getValue() == classIndex) {
                return entry.getKey();
            }
        }
        return "?";
    }
}
