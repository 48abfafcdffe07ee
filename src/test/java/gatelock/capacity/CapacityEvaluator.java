package gatelock.capacity;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/** Evaluates the metrics of the capacity model against their bounds, at any share of the target and under any load. */
final class CapacityEvaluator {
    /** Name of the load, at the whole target, for figures that do not name a load of their own. */
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
     * The result of evaluating a metric under a load.
     *
     * @param value value of the metric; NaN if it depends on a slope that was not measured
     * @param bound value of the bound; NaN if the metric has none
     * @param ratio ratio of the value to the bound, inverted for a minimum, so that it is above 1 if the bound is
     *     crossed; NaN if the value was not measured or the metric has no bound
     */
    record Evaluation(double value, double bound, double ratio) {
        /** Whether the metric crosses its bound. */
        boolean isOverBound() {
            return ratio > 1;
        }
    }

    /** Returns the target that metrics are evaluated for. */
    CapacityTarget target() {
        return target;
    }

    /** Returns the model that defines metrics and loads. */
    CapacityModel model() {
        return model;
    }

    /** Returns the measured slopes that formulas use. */
    MeasurementRun slopes() {
        return slopes;
    }

    /** Returns the value of a formula, or NaN if it uses a variable that has no value. */
    double value(String formula, Map<String, Double> variables) {
        return formulas.value(formula, variables);
    }

    /**
     * Returns the variables that formulas can use: inputs, slopes, bounds, derived variables and the variables of the
     * load.
     */
    Map<String, Double> variables(double share, String load) {
        return variablesByLoad.computeIfAbsent(load + share, key -> computeVariables(share, load));
    }

    private Map<String, Double> computeVariables(double share, String load) {
        Map<String, Double> variables = new LinkedHashMap<>(target.inputsAt(share));
        variables.putAll(slopes.slopesAndIntercepts());
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

    /** Returns the value of a bound at the whole target. */
    double boundAtTarget(String bound) {
        return variables(1, TARGET_LOAD).get(bound + BOUND_SUFFIX);
    }

    /** Evaluates a metric at a share of the target and under a load. */
    Evaluation evaluate(CapacityModel.Metric metric, double share, String load) {
        return evaluate(metric, metric.formula(), variables(share, load));
    }

    /** Evaluates a metric as it is with membership by scope, where each relay holds only a subset of the endpoints. */
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

    /** Returns the highest ratio of a metric under any of its loads at the whole target, or NaN if none is known. */
    double worstRatio(CapacityModel.Metric metric) {
        return loadsOf(metric)
                .mapToDouble(load -> evaluate(metric, 1, load).ratio())
                .filter(ratio -> !Double.isNaN(ratio))
                .max()
                .orElse(Double.NaN);
    }

    /** Returns the metrics that cross their bound under at least one load at the whole target. */
    List<CapacityModel.Metric> metricsOverBound() {
        return model.metrics().stream().filter(metric -> worstRatio(metric) > 1).toList();
    }
}
