package gatelock.capacity;

import java.util.List;
import java.util.Locale;
import java.util.Map;

/** Figures at the whole target that the questions of the page are answered from. */
final class TargetFigures {
    /** How unevenly requests are spread over services or tenants: the ends of the assumed range. */
    enum Skew {
        LOW("Low"),
        HIGH("High");

        private final String suffix;

        Skew(String suffix) {
            this.suffix = suffix;
        }

        /** As the page writes it. */
        String label() {
            return suffix.toLowerCase(Locale.ROOT) + " skew";
        }
    }

    private final CapacityEvaluator evaluator;
    private final Map<String, Double> variables;

    TargetFigures(CapacityEvaluator evaluator) {
        this.evaluator = evaluator;
        this.variables = evaluator.variables(1, CapacityEvaluator.TARGET_LOAD);
    }

    /** The value of a formula at the whole target. */
    double of(String formula) {
        return evaluator.value(formula, variables);
    }

    /** How requests are spread over services. */
    ZipfDistribution services(Skew skew) {
        return new ZipfDistribution((int) of("services"), serviceExponent(skew));
    }

    private double serviceExponent(Skew skew) {
        return of("zipfServices" + skew.suffix);
    }

    /** How requests are spread over tenants. */
    ZipfDistribution tenants(Skew skew) {
        return new ZipfDistribution((int) of("tenants"), tenantExponent(skew));
    }

    double tenantExponent(Skew skew) {
        return of("zipfTenants" + skew.suffix);
    }

    /** Over how many relays a service's canary may be spread. */
    List<Integer> canaryRelayCounts() {
        return evaluator.target().canaryRelayCounts();
    }

    /** Error rates of bad builds. */
    List<Double> badBuildErrorRates() {
        return evaluator.target().badBuildErrorRates();
    }
}
