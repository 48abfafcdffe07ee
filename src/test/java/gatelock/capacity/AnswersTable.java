package gatelock.capacity;

import java.util.Arrays;

/** Table of the four design questions of the capacity page, each answered in one sentence. */
final class AnswersTable {
    private final TargetFigures figures;
    private final VoteTables votes;

    AnswersTable(TargetFigures figures, VoteTables votes) {
        this.figures = figures;
        this.votes = votes;
    }

    /** Returns the table of questions and answers. */
    MarkdownTable answers() {
        return new MarkdownTable("question", "answer")
                .row("a: who serves what", servicePlacementAnswer())
                .row("b: how changes come", configDeliveryAnswer())
                .row("c: who can vote", votingAnswer())
                .row("d: how many hold a unit", relaysPerEndpointAnswer());
    }

    private String servicePlacementAnswer() {
        double requests = figures.value("meanReqs*demandS");
        return formatSentence(
                "each service at some relays of a zone, by its weight, at least %s: the "
                        + "mean service at %s relays, %s relays at one unit; by demand a relay would hold %s to %s of %s "
                        + "services",
                figures.value("leastAZone"),
                figures.value("leastAZone*zones"),
                relaysPerEndpoint(),
                figures.services(TargetFigures.Skew.HIGH).expectedDistinct(requests),
                figures.services(TargetFigures.Skew.LOW).expectedDistinct(requests),
                figures.value("services"));
    }

    /** Returns how many relays hold an endpoint of the mean service when services are placed by weight. */
    private double relaysPerEndpoint() {
        return figures.value("leastAZone*zones*unitsAService/(units/services)");
    }

    private String configDeliveryAnswer() {
        return formatSentence(
                "by difference, gathered for %s s: %s bytes/s a relay in the busy hour; one "
                        + "text takes %s s at the bound of bytes, where %s s are allowed",
                figures.value("batchS"),
                figures.value("configPerS*busyHour*configChangeBytes"),
                figures.value("routes*routeBytes/relayBytesPerSBound"),
                figures.value("inForceSBound"));
    }

    private String votingAnswer() {
        double outcomes = votes.meanServiceOutcomes();
        return formatSentence(
                "the mean service's trial has %s outcomes in %s s of its first stage: each relay "
                        + "alone stops to work past %s relays by the page's %s outcomes, past %s by the exact interval where a "
                        + "build fails 30%% of reqs, past %s where it fails 10%%; all relays are %s",
                outcomes,
                figures.value("weighedS"),
                votes.maxRelaysByPageMinimum(outcomes),
                figures.value("fewestOutcomes"),
                votes.maxRelaysByExactInterval(outcomes, 0.3),
                votes.maxRelaysByExactInterval(outcomes, 0.1),
                figures.value("relays"));
    }

    private String relaysPerEndpointAnswer() {
        RelaysPerEndpointTables relaysPerEndpointTables = new RelaysPerEndpointTables(figures);
        return formatSentence(
                "%s for a req of its own in a cold second, %s where each sent one at once, "
                        + "%s by probes, %s by handshakes, %s by connections; by weight (a) there are %s",
                relaysPerEndpointTables.maxBySlowStartBudget(),
                Math.floor(figures.value("coldReqsBound+2*sqrt(coldReqsBound)+2")),
                relaysPerEndpointTables.maxByProbes(),
                relaysPerEndpointTables.maxByHandshakes(),
                figures.value("unitConnectionsBound"),
                relaysPerEndpoint());
    }

    /** Formats a sentence, with its numbers in the notation of the page. */
    private static String formatSentence(String format, Double... values) {
        return String.format(
                format, Arrays.stream(values).map(MarkdownTable::figure).toArray());
    }
}
