package gatelock.capacity;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/** Evaluates every metric against its bound, at any share of the target and under any load. */
final class CapacityEvaluator {
    /** The load at the whole target that figures without a load of their own are for. */
    static final String TARGET_LOAD = "target";

    private static final String BOUND_SUFFIX = "Bound";

    private final CapacityTarget target;
    private final MeasurementRun slopes;
    private final CapacityModel model;
    private final FormulaEvaluator formulas = new FormulaEvaluator();
    private final Map<String, Map<String, Double>> variablesByLoad = new HashMap<>();

    CapacityEvaluator(CapacityTarget target, MeasurementRun slopes, CapacityModel model) {
        this.target = target;
        this.slopes = slopes;
        this.model = model;
    }

    /**
     * A metric under a load.
     *
     * @param value NaN: not measured
     * @param bound NaN: there is none
     * @param ratio of the value to the bound, above 1 where the bound is passed; NaN: not measured, or no bound
     */
    record Evaluation(double value, double bound, double ratio) {
        boolean isOverBound() {
            return ratio > 1;
        }
    }

    CapacityTarget target() {
        return target;
    }

    CapacityModel model() {
        return model;
    }

    MeasurementRun slopes() {
        return slopes;
    }

    /** The value of a formula; NaN where it uses a name that has no value. */
    double value(String formula, Map<String, Double> variables) {
        return formulas.value(formula, variables);
    }

    /** What formulas may name: inputs, slopes, bounds, what is derived of these, and the load's own variables. */
    Map<String, Double> variables(double share, String load) {
        return variablesByLoad.computeIfAbsent(load + share, key -> computeVariables(share, load));
    }

    private Map<String, Double> computeVariables(double share, String load) {
        Map<String, Double> variables = new LinkedHashMap<>(target.inputsAt(share));
        variables.putAll(slopes.values());
        target.bounds().forEach((name, bound) -> variables.put(name + BOUND_SUFFIX, boundValue(bound, variables)));
        model.derived().forEach((name, formula) -> variables.put(name, formulas.value(formula, variables)));
        model.loads()
                .get(load)
                .variables()
                .forEach((name, formula) -> variables.put(name, formulas.value(formula, variables)));
        variables.put("addedP99Ms", slopes.addedP99Ms(variables.get("reqs")));
        return variables;
    }

    private double boundValue(CapacityTarget.Bound bound, Map<String, Double> variables) {
        return bound.formula() == null ? bound.value() : formulas.value(bound.formula(), variables);
    }

    /** The value of a bound at the whole target. */
    double boundAtTarget(String bound) {
        return variables(1, TARGET_LOAD).get(bound + BOUND_SUFFIX);
    }

    Evaluation evaluate(CapacityModel.Metric metric, double share, String load) {
        return evaluate(metric, metric.formula(), variables(share, load));
    }

    /** As it is once membership by scope is in place. */
    Evaluation evaluateWithSubsets(CapacityModel.Metric metric, double share, String load) {
        String formula = metric.formulaWithSubsets() == null ? metric.formula() : metric.formulaWithSubsets();
        return evaluate(metric, formula, variables(share, load));
    }

    private Evaluation evaluate(CapacityModel.Metric metric, String formula, Map<String, Double> variables) {
        double value = formulas.value(formula, variables);
        if (metric.bound() == null) {
            return new Evaluation(value, Double.NaN, Double.NaN);
        }
        double bound = variables.get(metric.bound() + BOUND_SUFFIX);
        boolean minimum = target.bounds().get(metric.bound()).minimum();
        return new Evaluation(value, bound, minimum ? bound / value : value / bound);
    }

    private Stream<String> loadsOf(CapacityModel.Metric metric) {
        return model.loads().keySet().stream().filter(metric::appliesUnder);
    }

    /** The worst ratio of a metric over its loads at the whole target; NaN: none is known. */
    double worstRatio(CapacityModel.Metric metric) {
        return loadsOf(metric)
                .mapToDouble(load -> evaluate(metric, 1, load).ratio())
                .filter(ratio -> !Double.isNaN(ratio))
                .max()
                .orElse(Double.NaN);
    }

    /** Metrics that pass their bound under some load at the whole target. */
    List<CapacityModel.Metric> metricsOverBound() {
        return model.metrics().stream().filter(metric -> worstRatio(metric) > 1).toList();
    }
}
