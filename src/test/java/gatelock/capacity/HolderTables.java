package gatelock.capacity;

/** The question how many relays may hold an endpoint. */
final class HolderTables {
    private static final int[] HOLDERS = {1, 3, 10, 30, 57, 100, 300, 1_000, 5_700};
    private static final String MAX_PROBED = "unitProbesBound*probeEveryS";
    private static final String MAX_HANDSHAKES = "coldHandshakesBound*unitCores*coldFrom*coldS*1000/handshakeMs";

    private final TargetFigures figures;

    HolderTables(TargetFigures figures) {
        this.figures = figures;
    }

    /** What an endpoint gets from so many relays, to its bounds. */
    MarkdownTable loadByHolders() {
        double coldRequests = figures.of("coldReqsBound");
        double peakColdRequests = peakColdRequests();
        int maxColdRequests = (int) Math.floor(peakColdRequests);
        MarkdownTable table = new MarkdownTable(
                "relays that hold it",
                "connections, one each, of its bound",
                "probes of its bound",
                "handshakes of its cold time, one each at once",
                "its reqs/s from one relay",
                "of a cold second's " + MarkdownTable.figure(coldRequests) + " reqs, one relay's part",
                "chance that parts by budget pass " + maxColdRequests,
                "one req each as the start is told");
        double budget = figures.of("coldPart") * coldRequests;
        for (int relays : HOLDERS) {
            double handshakeLoad = relays * figures.of("handshakeMs/1000/(unitCores*coldFrom*coldS)");
            table.row(
                    relays,
                    MarkdownTable.ratio(relays / figures.of("unitConnectionsBound")),
                    MarkdownTable.ratio(relays / figures.of("probeEveryS") / figures.of("unitProbesBound")),
                    MarkdownTable.ratio(handshakeLoad / figures.of("coldHandshakesBound")),
                    figures.of("peakPerS/units") / relays,
                    budget / relays,
                    poissonTail(budget, maxColdRequests),
                    MarkdownTable.ratio(relays / peakColdRequests));
        }
        return table;
    }

    /** Requests of a cold second with a margin of two standard deviations and two. */
    private double peakColdRequests() {
        double coldRequests = figures.of("coldReqsBound");
        return coldRequests + 2 * Math.sqrt(coldRequests) + 2;
    }

    /** The largest number of relays by each bound. */
    MarkdownTable maxHolders() {
        return new MarkdownTable("by", "most relays that hold one unit")
                .row("connections, one each", maxByConnections())
                .row("probes", maxByProbes())
                .row("handshakes after a start, one each at once", maxByHandshakes())
                .row("one req each as the start is told, budgets left aside", Math.floor(peakColdRequests()))
                .row("a req of its own in a cold second for each", maxByColdBudget());
    }

    double maxByConnections() {
        return Math.floor(figures.of("unitConnectionsBound"));
    }

    double maxByProbes() {
        return Math.floor(figures.of(MAX_PROBED));
    }

    double maxByHandshakes() {
        return Math.floor(figures.of(MAX_HANDSHAKES));
    }

    /** Relays that can each send a request of their own in a cold second. */
    double maxByColdBudget() {
        return Math.floor(figures.of("coldPart*coldReqsBound"));
    }

    /** The probability that a Poisson variable of a mean is above a value. */
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
