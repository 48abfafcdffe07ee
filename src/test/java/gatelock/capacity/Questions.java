package gatelock.capacity;

import gatelock.decision.ExactIntervalTable;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;

/** Four questions by arithmetic at the whole target: who serves what, how changes come, who can vote, who holds an endpoint. */
final class Questions {
    private static final int MOST_OUTCOMES = 2_000;
    private static final int[] RELAYS_A_ZONE = {100, 30, 10, 3};
    private static final int[] HOLDERS = {1, 3, 10, 30, 57, 100, 300, 1_000, 5_700};
    private static final double EVEN_CHANCE = 0.5;

    private final Capacity capacity;
    private final Map<String, Double> names;

    Questions(Capacity capacity) {
        this.capacity = capacity;
        this.names = capacity.names(1, "target");
    }

    private double of(String formula) {
        return capacity.value(formula, names);
    }

    private Zipf zipf(String what, String end) {
        return new Zipf((int) of(what.toLowerCase(java.util.Locale.ROOT)), of("zipf" + what + end));
    }

    // ---- (a) Who serves what ------------------------------------------------------------------------------

    /** One way to share out services: what a relay holds of it, and who meets at an endpoint. */
    private void way(Table table, String way, double services, double relaysAService, double busiest) {
        double endpoints = services * of("units/services");
        double kept = Math.min(endpoints, services * of("unitsAService"));
        table.row(
                way,
                services,
                endpoints,
                of("heapPerUnit/1000000") * endpoints,
                kept,
                of("heapPerUnit/1000000") * kept,
                relaysAService,
                of("peakPerS/services*firstCap*weighedS") / relaysAService,
                relaysAService * kept / endpoints,
                busiest);
    }

    Table scope() {
        Table table = new Table(
                "way",
                "services a relay",
                "their units",
                "heap of these, MB",
                "units kept, " + Table.figure(of("unitsAService")) + " a service",
                "heap of these, MB",
                "relays a service",
                "outcomes of the mean service in a first stage, a relay",
                "relays at one unit",
                "busiest relay to the mean, high skew");
        way(table, "all relays all services", of("services"), of("relays"), 1);
        for (int k : RELAYS_A_ZONE) {
            double services = of("services") * k / of("relaysAZone");
            way(
                    table,
                    "each service at " + k + " relays of a zone",
                    services,
                    k * of("zones"),
                    1
                            + of("peakPerS/zones/meanReqs")
                                    / k
                                    * zipf("Services", "High").share(1));
        }
        for (String end : new String[] {"Low", "High"}) {
            Zipf zipf = zipf("Services", end);
            long[] relays = IntStream.rangeClosed(1, zipf.count())
                    .mapToLong(r -> byWeight(zipf.share(r)))
                    .toArray();
            double pairs = IntStream.range(0, relays.length)
                    .mapToDouble(i -> relays[i])
                    .sum();
            way(
                    table,
                    "by its weight, at least " + Table.figure(of("leastAZone")) + " of a zone, "
                            + end.toLowerCase(java.util.Locale.ROOT) + " skew",
                    pairs / of("relaysAZone"),
                    byWeight(1.0 / zipf.count()) * of("zones"),
                    1 + of("mostOfRelay"));
        }
        for (String end : new String[] {"Low", "High"}) {
            double asked = zipf("Services", end).distinct(of("meanReqs*demandS"));
            way(
                    table,
                    "by demand, held " + Table.figure(of("demandS")) + " s, " + end.toLowerCase(java.util.Locale.ROOT)
                            + " skew",
                    asked,
                    of("relays"),
                    1);
        }
        return table;
    }

    /** Relays of a zone for a service: so many that it fills no more than a part of each, the least at least. */
    private long byWeight(double share) {
        double wanted = Math.ceil(share * of("peakPerS/zones/(mostOfRelay*meanReqs)"));
        return (long) Math.min(of("relaysAZone"), Math.max(of("leastAZone"), wanted));
    }

    /** Tenants that a relay meets, for what it holds by tenant. */
    Table tenants() {
        Table table = new Table("skew", "tenants", "met by a relay in a minute", "share of all");
        for (String end : new String[] {"Low", "High"}) {
            Zipf zipf = zipf("Tenants", end);
            double met = zipf.distinct(of("meanReqs*demandS"));
            table.row(of("zipfTenants" + end), (double) zipf.count(), met, met / zipf.count());
        }
        return table;
    }

    // ---- (b) How changes come -----------------------------------------------------------------------------

    /** A way to tell of changes; formulas of the bytes a second, of one message, of work, and of catching up. */
    private void told(Table table, String way, String aSecond, String message, String cores, String behind) {
        double bytesPerS = of(aSecond);
        double latest = of("batchS+2*hopS") + of(message) / of("relayBytesPerSBound");
        table.row(
                way,
                bytesPerS,
                bytesPerS / of("relayBytesPerSBound"),
                of(message) / 1000,
                latest,
                latest <= of("inForceSBound") ? "yes" : "**no**",
                of(cores),
                of("relaysAMachine") * bytesPerS / 1e6,
                of(behind) / 1000,
                of(behind) / of("relayBytesPerSBound"));
    }

    Table changes() {
        Table table = new Table(
                "way",
                "bytes/s a relay",
                "of its bound",
                "one message, KB",
                "in force after, s",
                "within " + Table.figure(of("inForceSBound")) + " s",
                "cores a relay",
                "MB/s out of a machine",
                "to catch up after " + Table.figure(of("regionCutS")) + " s, KB",
                "s at the bound");
        String text = "routes*routeBytes";
        String compile = "max(0,cpuPerVersionUs0+cpuPerVersionUs*routes)/1000000";
        String scoped = "(" + byWeightPairs() + "/services)";
        told(table, "one text a change", "configPerS*" + text, text, "configPerS*" + compile, text);
        told(
                table,
                "one text, the newest every 7 s",
                "min(configPerS,1/inForceSBound)*" + text,
                text,
                "min(configPerS,1/inForceSBound)*" + compile,
                text);
        told(
                table,
                "difference, each change",
                "configPerS*configChangeBytes",
                "configChangeBytes",
                "configPerS*cpuPerVersionUs/1000000",
                "regionCutS*configPerS*configChangeBytes");
        told(
                table,
                "difference, gathered for a second in the busy hour",
                "configPerS*busyHour*configChangeBytes",
                "configPerS*busyHour*batchS*configChangeBytes",
                "configPerS*busyHour*cpuPerVersionUs/1000000",
                "regionCutS*configPerS*busyHour*configChangeBytes");
        told(
                table,
                "difference, only routes of services served (by weight, high skew)",
                "configPerS*busyHour*configChangeBytes*" + scoped,
                "configChangeBytes",
                "configPerS*busyHour*cpuPerVersionUs/1000000*" + scoped,
                "regionCutS*configPerS*busyHour*configChangeBytes*" + scoped);
        return table;
    }

    private double byWeightPairs() {
        Zipf zipf = zipf("Services", "High");
        return IntStream.rangeClosed(1, zipf.count())
                        .mapToLong(r -> byWeight(zipf.share(r)))
                        .sum()
                / of("relaysAZone");
    }

    // ---- (c) Who can vote ---------------------------------------------------------------------------------

    private int voices(int relays) {
        return Math.max(1, (int) Math.ceil(relays * of("backVotes")));
    }

    private double level(int relays) {
        return ExactIntervalTable.level(of("falseBacks"), relays, voices(relays));
    }

    /** Outcomes a relay needs to find a bad build, by how many relays share its canary. */
    Table needed() {
        List<String> head = new ArrayList<>(List.of("relays", "voices that send back", "one may be wrong in"));
        for (double errors : capacity.target().errors()) {
            String e = "errors " + Table.figure(errors * 100) + "%: ";
            head.add(e + "needed, each voice as likely as not");
            head.add(e + "needed, just so many voices");
            head.add(e + "the same, trial on " + canaryEndpoints() + " units");
        }
        Table table = new Table(head.toArray(String[]::new));
        for (int relays : capacity.target().spreads()) {
            List<Object> row = new ArrayList<>(List.of(
                    (double) relays, (double) voices(relays), Table.figure(level(relays) * 100) + "% of looks"));
            for (double errors : capacity.target().errors()) {
                row.add(needs(MOST_OUTCOMES, errors, relays, EVEN_CHANCE));
                row.add(needs(MOST_OUTCOMES, errors, relays, share(relays)));
                row.add(needs(canaryEndpoints(), errors, relays, share(relays)));
            }
            table.row(row.toArray());
        }
        return table;
    }

    private int canaryEndpoints() {
        return Math.max(1, (int) Math.round(of("trialUnits")));
    }

    private double share(int relays) {
        return Math.min(EVEN_CHANCE, (double) voices(relays) / relays);
    }

    private Object needs(int endpoints, double errors, int relays, double likely) {
        int seen = ExactIntervalTable.outcomesNeeded(
                endpoints, errors, of("errorBar"), level(relays), likely, MOST_OUTCOMES);
        return seen < 0 ? "none do" : (Object) (double) seen;
    }

    /** Outcomes a relay gets in a first stage, by rank of the service, skew and spread. */
    Table gets() {
        List<String> head = new ArrayList<>(List.of("relays that share it"));
        for (String end : new String[] {"low", "high"}) {
            head.addAll(List.of(
                    end + " skew: first service",
                    "median",
                    "last",
                    "services with " + Table.figure(of("fewestOutcomes")) + " (page)",
                    "services with enough for errors 30%"));
        }
        head.add(1, "mean service");
        Table table = new Table(head.toArray(String[]::new));
        double all = of("peakPerS*firstCap*weighedS");
        for (int relays : capacity.target().spreads()) {
            List<Object> row = new ArrayList<>(List.of((double) relays, all / of("services") / relays));
            int needed = ExactIntervalTable.outcomesNeeded(
                    MOST_OUTCOMES, 0.3, of("errorBar"), level(relays), share(relays), MOST_OUTCOMES);
            for (String end : new String[] {"Low", "High"}) {
                Zipf zipf = zipf("Services", end);
                row.addAll(List.of(
                        all * zipf.share(1) / relays,
                        all * zipf.share(zipf.count() / 2) / relays,
                        all * zipf.share(zipf.count()) / relays,
                        percent(zipf.partWith(of("fewestOutcomes") * relays / all)),
                        percent(zipf.partWith(needed * relays / all))));
            }
            table.row(row.toArray());
        }
        return table;
    }

    private static String percent(double share) {
        return Table.figure(share * 100) + "%";
    }

    /** The widest spread at which a relay alone still gets what a verdict needs. */
    Table alone() {
        Table table = new Table(
                "service",
                "its trial's outcomes in 8 s, all relays",
                "relays at which each still gets " + Table.figure(of("fewestOutcomes")),
                "relays at which each still finds errors 30%",
                "errors 10%");
        double all = of("peakPerS*firstCap*weighedS");
        alone(table, "mean", all / of("services"));
        for (String end : new String[] {"Low", "High"}) {
            Zipf zipf = zipf("Services", end);
            String skew = end.toLowerCase(java.util.Locale.ROOT) + " skew: ";
            alone(table, skew + "first", all * zipf.share(1));
            alone(table, skew + "median", all * zipf.share(zipf.count() / 2));
            alone(table, skew + "last", all * zipf.share(zipf.count()));
        }
        return table;
    }

    private void alone(Table table, String service, double outcomes) {
        table.row(service, outcomes, alone(outcomes), widest(outcomes, 0.3), widest(outcomes, 0.1));
    }

    private double alone(double outcomes) {
        return Math.min(of("relays"), Math.floor(outcomes / of("fewestOutcomes")));
    }

    private double widest(double outcomes, double errors) {
        int most = (int) of("relays");
        int widest = 0;
        for (int relays = 1;
                relays <= most;
                relays = relays == most ? most + 1 : Math.min(most, Math.max(relays + 1, relays * 21 / 20))) {
            int seen = (int) Math.min(MOST_OUTCOMES, outcomes / relays);
            if (ExactIntervalTable.found(seen, MOST_OUTCOMES, errors, of("errorBar"), level(relays)) >= share(relays)) {
                widest = relays;
            }
        }
        return widest;
    }

    // ---- (d) Who holds an endpoint -----------------------------------------------------------------------------

    Table holders() {
        double cold = of("coldReqsBound");
        double crest = cold + 2 * Math.sqrt(cold) + 2;
        int most = (int) Math.floor(crest);
        Table table = new Table(
                "relays that hold it",
                "connections, one each, of its bound",
                "probes of its bound",
                "handshakes of its cold time, one each at once",
                "its reqs/s from one relay",
                "of a cold second's " + Table.figure(cold) + " reqs, one relay's part",
                "chance that parts by budget pass " + most,
                "one req each as the start is told");
        double budget = of("coldPart") * cold;
        for (int relays : HOLDERS) {
            table.row(
                    (double) relays,
                    factor(relays / of("unitConnectionsBound")),
                    factor(relays / of("probeEveryS") / of("unitProbesBound")),
                    factor(relays * of("handshakeMs/1000/(unitCores*coldFrom*coldS)") / of("coldHandshakesBound")),
                    of("peakPerS/units") / relays,
                    budget / relays,
                    poissonAbove(budget, most),
                    factor(relays / crest));
        }
        return table;
    }

    /** Most relays by each bound. */
    Table mostHolders() {
        double cold = of("coldReqsBound");
        return new Table("by", "most relays that hold one unit")
                .row("connections, one each", Math.floor(of("unitConnectionsBound")))
                .row("probes", Math.floor(of("unitProbesBound*probeEveryS")))
                .row(
                        "handshakes after a start, one each at once",
                        Math.floor(of("coldHandshakesBound*unitCores*coldFrom*coldS*1000/handshakeMs")))
                .row(
                        "one req each as the start is told, budgets left aside",
                        Math.floor(cold + 2 * Math.sqrt(cold) + 2))
                .row("a req of its own in a cold second for each", Math.floor(of("coldPart") * cold));
    }

    // ---- The four answers ---------------------------------------------------------------------------------

    Table answers() {
        double mean = of("peakPerS*firstCap*weighedS/services");
        double atOne = of("leastAZone*zones*unitsAService/(units/services)");
        return new Table("question", "answer")
                .row(
                        "a: who serves what",
                        text(
                                "each service at some relays of a zone, by its weight, at least %s: the "
                                        + "mean service at %s relays, %s relays at one unit; by demand a relay would hold %s to %s of %s "
                                        + "services",
                                of("leastAZone"),
                                of("leastAZone*zones"),
                                atOne,
                                zipf("Services", "High").distinct(of("meanReqs*demandS")),
                                zipf("Services", "Low").distinct(of("meanReqs*demandS")),
                                of("services")))
                .row(
                        "b: how changes come",
                        text(
                                "by difference, gathered for %s s: %s bytes/s a relay in the busy hour; one "
                                        + "text takes %s s at the bound of bytes, where %s s are allowed",
                                of("batchS"),
                                of("configPerS*busyHour*configChangeBytes"),
                                of("routes*routeBytes/relayBytesPerSBound"),
                                of("inForceSBound")))
                .row(
                        "c: who can vote",
                        text(
                                "the mean service's trial has %s outcomes in %s s of its first stage: each relay "
                                        + "alone stops to work past %s relays by the page's %s outcomes, past %s by the exact interval where a "
                                        + "build fails 30%% of reqs, past %s where it fails 10%%; all relays are %s",
                                mean,
                                of("weighedS"),
                                alone(mean),
                                of("fewestOutcomes"),
                                widest(mean, 0.3),
                                widest(mean, 0.1),
                                of("relays")))
                .row(
                        "d: how many hold a unit",
                        text(
                                "%s for a req of its own in a cold second, %s where each sent one at once, "
                                        + "%s by probes, %s by handshakes, %s by connections; by weight (a) there are %s",
                                Math.floor(of("coldPart*coldReqsBound")),
                                Math.floor(of("coldReqsBound+2*sqrt(coldReqsBound)+2")),
                                Math.floor(of("unitProbesBound*probeEveryS")),
                                Math.floor(of("coldHandshakesBound*unitCores*coldFrom*coldS*1000/handshakeMs")),
                                of("unitConnectionsBound"),
                                atOne));
    }

    private static String text(String form, Double... figures) {
        return String.format(
                form, java.util.Arrays.stream(figures).map(Table::figure).toArray());
    }

    private static String factor(double factor) {
        return factor > 1 ? "**" + Table.figure(factor) + "**" : Table.figure(factor);
    }

    /** The probability of more than so many, where so many are expected, each by itself. */
    static double poissonAbove(double expected, int most) {
        double term = Math.exp(-expected);
        double below = term;
        for (int i = 1; i <= most; i++) {
            term *= expected / i;
            below += term;
        }
        return Math.max(0, 1 - below);
    }
}
