package gatelock.capacity;

/** Tables for the question of how many relays may hold an endpoint. */
final class RelaysPerEndpointTables {
    private static final int[] RELAY_COUNTS = {1, 3, 10, 30, 57, 100, 300, 1_000, 5_700};
    private static final String MAX_RELAYS_BY_PROBES = "unitProbesBound*probeEveryS";
    private static final String MAX_RELAYS_BY_HANDSHAKES =
            "coldHandshakesBound*unitCores*coldFrom*coldS*1000/handshakeMs";

    private final TargetFigures figures;

    RelaysPerEndpointTables(TargetFigures figures) {
        this.figures = figures;
    }

    /** Returns the load on an endpoint, relative to its bounds, by the number of relays that hold it. */
    MarkdownTable loadByRelayCount() {
        double slowStartRequests = figures.value("coldReqsBound");
        double peakSlowStartRequests = peakSlowStartRequests();
        int maxSlowStartRequests = (int) Math.floor(peakSlowStartRequests);
        MarkdownTable table = new MarkdownTable(
                "relays that hold it",
                "connections, one each, of its bound",
                "probes of its bound",
                "handshakes of its cold time, one each at once",
                "its reqs/s from one relay",
                "of a cold second's " + MarkdownTable.figure(slowStartRequests) + " reqs, one relay's part",
                "chance that parts by budget pass " + maxSlowStartRequests,
                "one req each as the start is told");
        double budget = figures.value("coldPart") * slowStartRequests;
        for (int relays : RELAY_COUNTS) {
            double handshakeLoad = relays * figures.value("handshakeMs/1000/(unitCores*coldFrom*coldS)");
            table.row(
                    relays,
                    MarkdownTable.ratio(relays / figures.value("unitConnectionsBound")),
                    MarkdownTable.ratio(relays / figures.value("probeEveryS") / figures.value("unitProbesBound")),
                    MarkdownTable.ratio(handshakeLoad / figures.value("coldHandshakesBound")),
                    figures.value("peakPerS/units") / relays,
                    budget / relays,
                    poissonTail(budget, maxSlowStartRequests),
                    MarkdownTable.ratio(relays / peakSlowStartRequests));
        }
        return table;
    }

    /** Returns the requests of one second of slow start plus a margin of two standard deviations and two requests. */
    private double peakSlowStartRequests() {
        double slowStartRequests = figures.value("coldReqsBound");
        return slowStartRequests + 2 * Math.sqrt(slowStartRequests) + 2;
    }

    /** Returns the largest number of relays that each bound allows. */
    MarkdownTable maxRelays() {
        return new MarkdownTable("by", "most relays that hold one unit")
                .row("connections, one each", maxByConnections())
                .row("probes", maxByProbes())
                .row("handshakes after a start, one each at once", maxByHandshakes())
                .row("one req each as the start is told, budgets left aside", Math.floor(peakSlowStartRequests()))
                .row("a req of its own in a cold second for each", maxBySlowStartBudget());
    }

    /** Returns the number of relays at which one connection each reaches the bound on connections. */
    double maxByConnections() {
        return Math.floor(figures.value("unitConnectionsBound"));
    }

    /** Returns the number of relays at which their probes reach the bound on probes. */
    double maxByProbes() {
        return Math.floor(figures.value(MAX_RELAYS_BY_PROBES));
    }

    /** Returns the number of relays at which one handshake each during slow start reaches the bound on handshakes. */
    double maxByHandshakes() {
        return Math.floor(figures.value(MAX_RELAYS_BY_HANDSHAKES));
    }

    /** Returns the number of relays that can each send one request in a second of slow start. */
    double maxBySlowStartBudget() {
        return Math.floor(figures.value("coldPart*coldReqsBound"));
    }

    /** Returns the probability that a Poisson variable with the given mean exceeds a value. */
    static double poissonTail(double mean, int value) {
        double term = Math.exp(-mean);
        double cumulative = term;
        for (int i = 1; i <= value; i++) {
            term *= mean / i;
            cumulative += term;
        }
        return Math.max(0, 1 - cumulative);
    }
}
