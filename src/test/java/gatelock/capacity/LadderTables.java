package gatelock.capacity;

import java.util.ArrayList;
import java.util.List;

/** Tables of the ladder: where each bound is crossed, and what is lost there. */
final class LadderTables {
    private final List<CapacityTarget.Step> steps;
    private final List<ScaleLadder.Rung> rungs;

    LadderTables(List<CapacityTarget.Step> steps, List<ScaleLadder.Rung> rungs) {
        this.steps = steps;
        this.rungs = rungs;
    }

    String ladder() {
        List<String> headings = new ArrayList<>(List.of("bound", "figure to bound, under load"));
        steps.forEach(step -> headings.add("at " + step.name()));
        headings.addAll(List.of(
                "crossed at", "over from step", "with membership by scope: at 1", "crossed at", "over from step"));
        MarkdownTable table = new MarkdownTable(headings.toArray(String[]::new));
        rungs.forEach(rung -> table.row(row(rung).toArray()));
        return table.toString();
    }

    private List<Object> row(ScaleLadder.Rung rung) {
        CapacityModel.Metric metric = rung.metric();
        List<Object> row = new ArrayList<>(List.of(metric.id(), metric.description() + "; " + metric.ladderLoad()));
        rung.ratios().forEach(ratio -> row.add(MarkdownTable.ratio(ratio)));
        row.add(MarkdownTable.share(rung.crossedAt()));
        row.add(overFrom(rung.ratios()));
        if (metric.formulaWithSubsets() == null) {
            row.addAll(List.of("as before", "", ""));
        } else {
            row.add(rung.lastRatioWithSubsets());
            row.add(MarkdownTable.share(rung.crossedAtWithSubsets()));
            row.add(overFrom(rung.ratiosWithSubsets()));
        }
        return row;
    }

    private String overFrom(List<Double> ratios) {
        if (Double.isNaN(ratios.get(ratios.size() - 1))) {
            return "not measured";
        }
        return ScaleLadder.firstStepOver(steps, ratios).orElse("none");
    }

    /** The bounds that are crossed up to the target, and what is lost beyond them. */
    String losses() {
        MarkdownTable table = new MarkdownTable("bound", "crossed at", "what is lost there", "mechanism");
        rungs.stream()
                .filter(rung -> rung.crossedAt() <= 1)
                .forEach(rung -> table.row(
                        rung.metric().id(),
                        MarkdownTable.share(rung.crossedAt()),
                        rung.metric().lossBeyondBound(),
                        rung.metric().mechanism()));
        return table.toString();
    }
}
