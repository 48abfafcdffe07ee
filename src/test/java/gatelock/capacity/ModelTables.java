package gatelock.capacity;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Tables of the capacity model: inputs, bounds, loads and the metrics of each role. */
final class ModelTables {
    /** Slopes with a larger relative distance of a point from the fitted line get a remark. */
    private static final double MAX_GOOD_FIT_RESIDUAL = 0.25;

    private final CapacityEvaluator evaluator;

    ModelTables(CapacityEvaluator evaluator) {
        this.evaluator = evaluator;
    }

    /** Returns the inputs of the model. */
    String inputs() {
        MarkdownTable table = new MarkdownTable("input", "value", "unit", "given or assumed", "source");
        evaluator
                .target()
                .inputs()
                .forEach((name, input) ->
                        table.row(name, input.value(), input.unit(), givenOrAssumed(input.assumed()), input.source()));
        return table.toString();
    }

    /** Returns the bounds at the whole target. */
    String bounds() {
        MarkdownTable table = new MarkdownTable("bound", "value", "unit", "of what", "given or assumed", "source");
        evaluator
                .target()
                .bounds()
                .forEach((name, bound) -> table.row(
                        name,
                        (bound.minimum() ? "at least " : "at most ")
                                + MarkdownTable.figure(evaluator.boundAtTarget(name)),
                        bound.unit(),
                        bound.what(),
                        givenOrAssumed(bound.assumed()),
                        bound.source()));
        return table.toString();
    }

    private static String givenOrAssumed(boolean assumed) {
        return assumed ? "**assumed**" : "given";
    }

    /** Returns the loads and the rates that they set. */
    String loads() {
        MarkdownTable table = new MarkdownTable(
                "load",
                "what",
                "reqs/s a relay",
                "changes of the list/s",
                "changes of configuration/s",
                "units in one answer");
        evaluator.model().loads().forEach((name, load) -> {
            Map<String, Double> variables = evaluator.variables(1, name);
            table.row(
                    name,
                    load.description(),
                    variables.get("reqs"),
                    variables.get("changes"),
                    variables.get("configs"),
                    variables.get("burst"));
        });
        return table.toString();
    }

    /** Returns the metrics of one role under each load. */
    String role(String role) {
        Set<String> loads = evaluator.model().loads().keySet();
        List<String> headings = new ArrayList<>(List.of("line", "formula", "slopes", "bound"));
        headings.addAll(loads);
        MarkdownTable table = new MarkdownTable(headings.toArray(String[]::new));
        for (CapacityModel.Metric metric : evaluator.model().metrics()) {
            if (metric.role().equals(role)) {
                List<Object> row = new ArrayList<>(List.of(
                        metric.description() + ", " + metric.unit(),
                        "`" + metric.formula() + "`",
                        slopesOf(metric.formula()),
                        bound(metric)));
                loads.forEach(load -> row.add(metric.appliesUnder(load) ? figure(metric, load) : "-"));
                table.row(row.toArray());
            }
        }
        return table.toString();
    }

    /** Lists the slopes and the assumed inputs that a formula uses. */
    private String slopesOf(String formula) {
        Set<String> texts = new LinkedHashSet<>();
        for (String name : FormulaEvaluator.names(formula)) {
            // A slope name with 0 appended is the intercept of the slope.
            String slope = name.endsWith("0") ? name.substring(0, name.length() - 1) : name;
            CapacityTarget.Input input = evaluator.target().inputs().get(name);
            if (MeasurementRun.KNOWN_SLOPES.contains(slope)) {
                texts.add(slope + (isMeasured(slope) ? fitRemark(slope) : " (not measured)"));
            } else if (input != null && input.assumed()) {
                texts.add(name + " (assumed)");
            }
        }
        return String.join(", ", texts);
    }

    private String fitRemark(String slope) {
        double residual = evaluator.slopes().residual(slope);
        return residual > MAX_GOOD_FIT_RESIDUAL ? " (points up to " + MarkdownTable.percent(residual) + " off)" : "";
    }

    private boolean isMeasured(String slope) {
        return !evaluator
                .variables(1, CapacityEvaluator.TARGET_LOAD)
                .getOrDefault(slope, Double.NaN)
                .isNaN();
    }

    private String bound(CapacityModel.Metric metric) {
        if (metric.bound() == null) {
            return "";
        }
        boolean minimum = evaluator.target().bounds().get(metric.bound()).minimum();
        return (minimum ? "least " : "") + MarkdownTable.figure(evaluator.boundAtTarget(metric.bound()));
    }

    private String figure(CapacityModel.Metric metric, String load) {
        CapacityEvaluator.Evaluation evaluation = evaluator.evaluate(metric, 1, load);
        String value = MarkdownTable.figure(evaluation.value());
        if (Double.isNaN(evaluation.ratio())) {
            return value;
        }
        String withRatio = value + " (" + MarkdownTable.figure(evaluation.ratio()) + ")";
        return evaluation.isOverBound() ? "**" + withRatio + " over**" : withRatio;
    }

    /** Returns the metrics over their bounds, in descending order of their worst ratio. */
    String overBound() {
        MarkdownTable table = new MarkdownTable("role", "line", "worst factor", "mechanism");
        evaluator.metricsOverBound().stream()
                .sorted(Comparator.comparingDouble(evaluator::worstRatio).reversed())
                .forEach(metric -> table.row(
                        metric.role(), metric.description(), evaluator.worstRatio(metric), metric.mechanism()));
        return table.toString();
    }
}
