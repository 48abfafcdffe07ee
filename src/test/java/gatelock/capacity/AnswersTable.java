package gatelock.capacity;

import java.util.Arrays;

/** The four questions of the page, each answered in a sentence. */
final class AnswersTable {
    private final TargetFigures figures;
    private final VoteTables votes;

    AnswersTable(TargetFigures figures, VoteTables votes) {
        this.figures = figures;
        this.votes = votes;
    }

    MarkdownTable answers() {
        return new MarkdownTable("question", "answer")
                .row("a: who serves what", whoServesWhat())
                .row("b: how changes come", howChangesCome())
                .row("c: who can vote", whoCanVote())
                .row("d: how many hold a unit", howManyHoldAnEndpoint());
    }

    private String whoServesWhat() {
        double requests = figures.of("meanReqs*demandS");
        return text(
                "each service at some relays of a zone, by its weight, at least %s: the "
                        + "mean service at %s relays, %s relays at one unit; by demand a relay would hold %s to %s of %s "
                        + "services",
                figures.of("leastAZone"),
                figures.of("leastAZone*zones"),
                relaysPerEndpoint(),
                figures.services(TargetFigures.Skew.HIGH).expectedDistinct(requests),
                figures.services(TargetFigures.Skew.LOW).expectedDistinct(requests),
                figures.of("services"));
    }

    /** Relays that hold an endpoint of the mean service where services are placed by their weight. */
    private double relaysPerEndpoint() {
        return figures.of("leastAZone*zones*unitsAService/(units/services)");
    }

    private String howChangesCome() {
        return text(
                "by difference, gathered for %s s: %s bytes/s a relay in the busy hour; one "
                        + "text takes %s s at the bound of bytes, where %s s are allowed",
                figures.of("batchS"),
                figures.of("configPerS*busyHour*configChangeBytes"),
                figures.of("routes*routeBytes/relayBytesPerSBound"),
                figures.of("inForceSBound"));
    }

    private String whoCanVote() {
        double outcomes = votes.meanServiceOutcomes();
        return text(
                "the mean service's trial has %s outcomes in %s s of its first stage: each relay "
                        + "alone stops to work past %s relays by the page's %s outcomes, past %s by the exact interval where a "
                        + "build fails 30%% of reqs, past %s where it fails 10%%; all relays are %s",
                outcomes,
                figures.of("weighedS"),
                votes.widestSpreadByPage(outcomes),
                figures.of("fewestOutcomes"),
                votes.widestSpread(outcomes, 0.3),
                votes.widestSpread(outcomes, 0.1),
                figures.of("relays"));
    }

    private String howManyHoldAnEndpoint() {
        HolderTables holders = new HolderTables(figures);
        return text(
                "%s for a req of its own in a cold second, %s where each sent one at once, "
                        + "%s by probes, %s by handshakes, %s by connections; by weight (a) there are %s",
                holders.maxByColdBudget(),
                Math.floor(figures.of("coldReqsBound+2*sqrt(coldReqsBound)+2")),
                holders.maxByProbes(),
                holders.maxByHandshakes(),
                figures.of("unitConnectionsBound"),
                relaysPerEndpoint());
    }

    /** A text with figures as the page writes them. */
    private static String text(String format, Double... values) {
        return String.format(
                format, Arrays.stream(values).map(MarkdownTable::figure).toArray());
    }
}
