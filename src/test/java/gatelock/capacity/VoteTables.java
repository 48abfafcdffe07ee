package gatelock.capacity;

import gatelock.decision.ExactIntervalTable;
import java.util.ArrayList;
import java.util.List;

/** The question who can vote: whether a relay sees enough outcomes of a canary to vote on it. */
final class VoteTables {
    private static final int MAX_OUTCOMES = 2_000;
    private static final double EVEN_CHANCE = 0.5;
    private static final double HIGH_ERROR_RATE = 0.3;
    private static final double LOW_ERROR_RATE = 0.1;

    private final TargetFigures figures;

    VoteTables(TargetFigures figures) {
        this.figures = figures;
    }

    /** Votes of so many relays that roll a build back. */
    private int votesNeeded(int relays) {
        return Math.max(1, (int) Math.ceil(relays * figures.of("backVotes")));
    }

    /** The share of looks in which one relay may be wrong, so that enough of them hardly ever are. */
    private double significanceLevel(int relays) {
        return ExactIntervalTable.errorLevel(figures.of("falseBacks"), relays, votesNeeded(relays));
    }

    /** The probability with which each relay has to find a bad build, so that just enough of them do. */
    private double powerNeeded(int relays) {
        return Math.min(EVEN_CHANCE, (double) votesNeeded(relays) / relays);
    }

    /** Outcomes of all canary endpoints in the first stage, over all services. */
    private double firstStageOutcomes() {
        return figures.of("peakPerS*firstCap*weighedS");
    }

    /** Outcomes of the mean service's canary in the first stage. */
    double meanServiceOutcomes() {
        return figures.of("peakPerS*firstCap*weighedS/services");
    }

    // ---- Outcomes that are needed --------------------------------------------------------------------------

    /** Outcomes that a relay needs to find a bad build, by how many relays share its canary. */
    MarkdownTable outcomesNeeded() {
        List<String> headings = new ArrayList<>(List.of("relays", "voices that send back", "one may be wrong in"));
        for (double errorRate : figures.badBuildErrorRates()) {
            String errors = "errors " + MarkdownTable.percent(errorRate) + ": ";
            headings.add(errors + "needed, each voice as likely as not");
            headings.add(errors + "needed, just so many voices");
            headings.add(errors + "the same, trial on " + canaryEndpoints() + " units");
        }
        MarkdownTable table = new MarkdownTable(headings.toArray(String[]::new));
        for (int relays : figures.canaryRelayCounts()) {
            List<Object> row = new ArrayList<>(List.of(
                    relays, votesNeeded(relays), MarkdownTable.percent(significanceLevel(relays)) + " of looks"));
            for (double errorRate : figures.badBuildErrorRates()) {
                row.add(outcomesNeeded(MAX_OUTCOMES, errorRate, relays, EVEN_CHANCE));
                row.add(outcomesNeeded(MAX_OUTCOMES, errorRate, relays, powerNeeded(relays)));
                row.add(outcomesNeeded(canaryEndpoints(), errorRate, relays, powerNeeded(relays)));
            }
            table.row(row.toArray());
        }
        return table;
    }

    private int canaryEndpoints() {
        return Math.max(1, (int) Math.round(figures.of("trialUnits")));
    }

    private Object outcomesNeeded(int endpoints, double errorRate, int relays, double power) {
        int outcomes = ExactIntervalTable.minOutcomesToDetect(
                endpoints, errorRate, figures.of("errorBar"), significanceLevel(relays), power, MAX_OUTCOMES);
        return outcomes < 0 ? "none do" : (Object) outcomes;
    }

    // ---- Outcomes that there are ---------------------------------------------------------------------------

    /** Outcomes that a relay gets in a first stage, by rank of the service, skew and spread. */
    MarkdownTable outcomesPerRelay() {
        List<String> headings = new ArrayList<>(List.of("relays that share it", "mean service"));
        for (TargetFigures.Skew skew : TargetFigures.Skew.values()) {
            headings.addAll(List.of(
                    skew.label() + ": first service",
                    "median",
                    "last",
                    "services with " + MarkdownTable.figure(figures.of("fewestOutcomes")) + " (page)",
                    "services with enough for errors 30%"));
        }
        MarkdownTable table = new MarkdownTable(headings.toArray(String[]::new));
        double total = firstStageOutcomes();
        for (int relays : figures.canaryRelayCounts()) {
            List<Object> row = new ArrayList<>(List.of(relays, total / figures.of("services") / relays));
            for (TargetFigures.Skew skew : TargetFigures.Skew.values()) {
                row.addAll(outcomesByRank(figures.services(skew), total, relays));
            }
            table.row(row.toArray());
        }
        return table;
    }

    private List<Object> outcomesByRank(ZipfDistribution services, double total, int relays) {
        int needed = ExactIntervalTable.minOutcomesToDetect(
                MAX_OUTCOMES,
                HIGH_ERROR_RATE,
                figures.of("errorBar"),
                significanceLevel(relays),
                powerNeeded(relays),
                MAX_OUTCOMES);
        double enoughByPage = figures.of("fewestOutcomes") * relays / total;
        return List.of(
                total * services.share(1) / relays,
                total * services.share(services.count() / 2) / relays,
                total * services.share(services.count()) / relays,
                MarkdownTable.percent(services.proportionWithShare(enoughByPage)),
                MarkdownTable.percent(services.proportionWithShare(needed * relays / total)));
    }

    // ---- Spreads -------------------------------------------------------------------------------------------

    /** The widest spread at which each relay alone still gets the outcomes that a verdict needs. */
    MarkdownTable widestSpreads() {
        MarkdownTable table = new MarkdownTable(
                "service",
                "its trial's outcomes in 8 s, all relays",
                "relays at which each still gets " + MarkdownTable.figure(figures.of("fewestOutcomes")),
                "relays at which each still finds errors 30%",
                "errors 10%");
        double total = firstStageOutcomes();
        addSpread(table, "mean", total / figures.of("services"));
        for (TargetFigures.Skew skew : TargetFigures.Skew.values()) {
            ZipfDistribution services = figures.services(skew);
            addSpread(table, skew.label() + ": first", total * services.share(1));
            addSpread(table, skew.label() + ": median", total * services.share(services.count() / 2));
            addSpread(table, skew.label() + ": last", total * services.share(services.count()));
        }
        return table;
    }

    private void addSpread(MarkdownTable table, String service, double outcomes) {
        table.row(
                service,
                outcomes,
                widestSpreadByPage(outcomes),
                widestSpread(outcomes, HIGH_ERROR_RATE),
                widestSpread(outcomes, LOW_ERROR_RATE));
    }

    /** The widest spread at which each relay still gets the page's fewest outcomes. */
    double widestSpreadByPage(double outcomes) {
        return Math.min(figures.of("relays"), Math.floor(outcomes / figures.of("fewestOutcomes")));
    }

    /** The widest spread at which enough relays still find an error rate by the exact interval. */
    double widestSpread(double outcomes, double errorRate) {
        int widest = 0;
        for (int relays : spreads((int) figures.of("relays"))) {
            int perRelay = (int) Math.min(MAX_OUTCOMES, outcomes / relays);
            double power = ExactIntervalTable.detectionProbability(
                    perRelay, MAX_OUTCOMES, errorRate, figures.of("errorBar"), significanceLevel(relays));
            if (power >= powerNeeded(relays)) {
                widest = relays;
            }
        }
        return widest;
    }

    /** From 1 to a maximum, in steps of a twentieth. */
    private static List<Integer> spreads(int max) {
        List<Integer> spreads = new ArrayList<>();
        int relays = 1;
        while (relays < max) {
            spreads.add(relays);
            relays = Math.max(relays + 1, relays * 21 / 20);
        }
        if (max >= 1) {
            spreads.add(max);
        }
        return spreads;
    }
}
