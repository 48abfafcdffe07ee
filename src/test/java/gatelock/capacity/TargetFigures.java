package gatelock.capacity;

import java.util.List;
import java.util.Locale;
import java.util.Map;

/** Evaluates formulas at the whole target, for the tables that answer the questions of the page. */
final class TargetFigures {
    /** How unevenly requests are distributed over services or tenants: the two ends of the assumed range. */
    enum Skew {
        LOW("Low"),
        HIGH("High");

        private final String suffix;

        Skew(String suffix) {
            this.suffix = suffix;
        }

        /** Returns the name on the page. */
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

    /** Returns the value of a formula at the whole target. */
    double value(String formula) {
        return evaluator.value(formula, variables);
    }

    /** Returns the distribution of requests over services. */
    ZipfDistribution services(Skew skew) {
        return new ZipfDistribution((int) value("services"), serviceExponent(skew));
    }

    private double serviceExponent(Skew skew) {
        return value("zipfServices" + skew.suffix);
    }

    /** Returns the distribution of requests over tenants. */
    ZipfDistribution tenants(Skew skew) {
        return new ZipfDistribution((int) value("tenants"), tenantExponent(skew));
    }

    /** Returns the Zipf exponent of the distribution of requests over tenants. */
    double tenantExponent(Skew skew) {
        return value("zipfTenants" + skew.suffix);
    }

    /** Returns the numbers of relays among which the requests to a service's canary can be divided. */
    List<Integer> canaryRelayCounts() {
        return evaluator.target().canaryRelayCounts();
    }

    /** Returns the error rates of bad builds, from 0 to 1. */
    List<Double> badBuildErrorRates() {
        return evaluator.target().badBuildErrorRates();
    }
}
