package gatelock.capacity;

import gatelock.decision.ExactIntervalTable;
import java.util.ArrayList;
import java.util.List;

/** Tables for the question of which relays can vote: whether a relay gets enough outcomes of a canary to vote on it. */
final class VoteTables {
    private static final int MAX_OUTCOMES = 2_000;
    /** Detection probability of a relay that is as likely to detect a bad build as not. */
    private static final double EVEN_CHANCE = 0.5;

    private static final double HIGH_ERROR_RATE = 0.3;
    private static final double LOW_ERROR_RATE = 0.1;

    private final TargetFigures figures;

    VoteTables(TargetFigures figures) {
        this.figures = figures;
    }

    /** Returns the number of votes that roll a build back, if the given number of relays vote. */
    private int votesNeeded(int relays) {
        return Math.max(1, (int) Math.ceil(relays * figures.value("backVotes")));
    }

    /**
     * Returns the probability with which one relay may reject a good build in an evaluation. It is chosen so that enough
     * relays for a rollback do so together only at the rate of false rollbacks that the target allows.
     */
    private double significanceLevel(int relays) {
        return ExactIntervalTable.errorLevel(figures.value("falseBacks"), relays, votesNeeded(relays));
    }

    /** Returns the probability with which each relay has to detect a bad build, so that just enough of them do. */
    private double powerNeeded(int relays) {
        return Math.min(EVEN_CHANCE, (double) votesNeeded(relays) / relays);
    }

    /** Returns the outcomes of all canary endpoints in the first stage, summed over all services. */
    private double firstStageOutcomes() {
        return figures.value("peakPerS*firstCap*weighedS");
    }

    /** Returns the outcomes of the mean service's canary in the first stage. */
    double meanServiceOutcomes() {
        return figures.value("peakPerS*firstCap*weighedS/services");
    }

    // ---- Outcomes that a relay needs -----------------------------------------------------------------------

    /** Returns the outcomes that a relay needs to detect a bad build, by the number of relays that share the canary. */
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
        return Math.max(1, (int) Math.round(figures.value("trialUnits")));
    }

    private Object outcomesNeeded(int endpoints, double errorRate, int relays, double power) {
        int outcomes = ExactIntervalTable.minOutcomesToDetect(
                endpoints, errorRate, figures.value("errorBar"), significanceLevel(relays), power, MAX_OUTCOMES);
        return outcomes < 0 ? "none do" : (Object) outcomes;
    }

    // ---- Outcomes that a relay gets ------------------------------------------------------------------------

    /** Returns the outcomes that a relay gets in the first stage, by rank of the service, skew and number of relays. */
    MarkdownTable outcomesPerRelay() {
        List<String> headings = new ArrayList<>(List.of("relays that share it", "mean service"));
        for (TargetFigures.Skew skew : TargetFigures.Skew.values()) {
            headings.addAll(List.of(
                    skew.label() + ": first service",
                    "median",
                    "last",
                    "services with " + MarkdownTable.figure(figures.value("fewestOutcomes")) + " (page)",
                    "services with enough for errors 30%"));
        }
        MarkdownTable table = new MarkdownTable(headings.toArray(String[]::new));
        double total = firstStageOutcomes();
        for (int relays : figures.canaryRelayCounts()) {
            List<Object> row = new ArrayList<>(List.of(relays, total / figures.value("services") / relays));
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
                figures.value("errorBar"),
                significanceLevel(relays),
                powerNeeded(relays),
                MAX_OUTCOMES);
        double shareForPageMinimum = figures.value("fewestOutcomes") * relays / total;
        return List.of(
                total * services.share(1) / relays,
                total * services.share(services.count() / 2) / relays,
                total * services.share(services.count()) / relays,
                MarkdownTable.percent(services.proportionWithShare(shareForPageMinimum)),
                MarkdownTable.percent(services.proportionWithShare(needed * relays / total)));
    }

    // ---- Relays that can share a canary --------------------------------------------------------------------

    /** Returns the largest number of relays at which each relay alone still gets the outcomes that a verdict needs. */
    MarkdownTable maxRelaysPerCanary() {
        MarkdownTable table = new MarkdownTable(
                "service",
                "its trial's outcomes in 8 s, all relays",
                "relays at which each still gets " + MarkdownTable.figure(figures.value("fewestOutcomes")),
                "relays at which each still finds errors 30%",
                "errors 10%");
        double total = firstStageOutcomes();
        addMaxRelays(table, "mean", total / figures.value("services"));
        for (TargetFigures.Skew skew : TargetFigures.Skew.values()) {
            ZipfDistribution services = figures.services(skew);
            addMaxRelays(table, skew.label() + ": first", total * services.share(1));
            addMaxRelays(table, skew.label() + ": median", total * services.share(services.count() / 2));
            addMaxRelays(table, skew.label() + ": last", total * services.share(services.count()));
        }
        return table;
    }

    private void addMaxRelays(MarkdownTable table, String service, double outcomes) {
        table.row(
                service,
                outcomes,
                maxRelaysByPageMinimum(outcomes),
                maxRelaysByExactInterval(outcomes, HIGH_ERROR_RATE),
                maxRelaysByExactInterval(outcomes, LOW_ERROR_RATE));
    }

    /** Returns the largest number of relays at which each still gets the minimum of outcomes that the page states. */
    double maxRelaysByPageMinimum(double outcomes) {
        return Math.min(figures.value("relays"), Math.floor(outcomes / figures.value("fewestOutcomes")));
    }

    /**
     * Returns the largest number of relays at which enough of them still detect a build with the given error rate by the
     * exact confidence interval.
     */
    double maxRelaysByExactInterval(double outcomes, double errorRate) {
        int maxRelays = 0;
        for (int relays : relayCounts((int) figures.value("relays"))) {
            int perRelay = (int) Math.min(MAX_OUTCOMES, outcomes / relays);
            double power = ExactIntervalTable.detectionProbability(
                    perRelay, MAX_OUTCOMES, errorRate, figures.value("errorBar"), significanceLevel(relays));
            if (power >= powerNeeded(relays)) {
                maxRelays = relays;
            }
        }
        return maxRelays;
    }

    /** Returns increasing numbers of relays from 1 to a maximum, in steps of about one twentieth but at least 1. */
    private static List<Integer> relayCounts(int max) {
        List<Integer> relayCounts = new ArrayList<>();
        int relays = 1;
        while (relays < max) {
            relayCounts.add(relays);
            relays = Math.max(relays + 1, relays * 21 / 20);
        }
        if (max >= 1) {
            relayCounts.add(max);
        }
        return relayCounts;
    }
}
