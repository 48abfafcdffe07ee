package gatelock.capacity;

import java.util.ArrayList;
import java.util.List;

/** Tables of the scale ladder: the share of the target at which each bound is crossed, and what is lost beyond it. */
final class LadderTables {
    private final List<CapacityTarget.Step> steps;
    private final List<ScaleLadder.ScalingCurve> curves;

    LadderTables(List<CapacityTarget.Step> steps, List<ScaleLadder.ScalingCurve> curves) {
        this.steps = steps;
        this.curves = curves;
    }

    /** Returns the table of ratios to bounds at each step of the ladder. */
    String ladder() {
        List<String> headings = new ArrayList<>(List.of("bound", "figure to bound, under load"));
        steps.forEach(step -> headings.add("at " + step.name()));
        headings.addAll(List.of(
                "crossed at", "over from step", "with membership by scope: at 1", "crossed at", "over from step"));
        MarkdownTable table = new MarkdownTable(headings.toArray(String[]::new));
        curves.forEach(curve -> table.row(row(curve).toArray()));
        return table.toString();
    }

    private List<Object> row(ScaleLadder.ScalingCurve curve) {
        CapacityModel.Metric metric = curve.metric();
        List<Object> row = new ArrayList<>(List.of(metric.id(), metric.description() + "; " + metric.ladderLoad()));
        curve.ratios().forEach(ratio -> row.add(MarkdownTable.ratio(ratio)));
        row.add(MarkdownTable.share(curve.crossedAt()));
        row.add(firstStepOverBound(curve.ratios()));
        if (metric.formulaWithSubsets() == null) {
            row.addAll(List.of("as before", "", ""));
        } else {
            row.add(curve.lastRatioWithSubsets());
            row.add(MarkdownTable.share(curve.crossedAtWithSubsets()));
            row.add(firstStepOverBound(curve.ratiosWithSubsets()));
        }
        return row;
    }

    private String firstStepOverBound(List<Double> ratios) {
        if (Double.isNaN(ratios.get(ratios.size() - 1))) {
            return "not measured";
        }
        return ScaleLadder.firstStepOver(steps, ratios).orElse("none");
    }

    /** Returns the bounds that are crossed at or below the whole target, and what is lost beyond them. */
    String losses() {
        MarkdownTable table = new MarkdownTable("bound", "crossed at", "what is lost there", "mechanism");
        curves.stream()
                .filter(curve -> curve.crossedAt() <= 1)
                .forEach(curve -> table.row(
                        curve.metric().id(),
                        MarkdownTable.share(curve.crossedAt()),
                        curve.metric().lossBeyondBound(),
                        curve.metric().mechanism()));
        return table.toString();
    }
}
