package gatelock.capacity;

import java.util.stream.IntStream;

/** The question who serves what: ways to place services on relays, and what a relay holds with each. */
final class ServicePlacement {
    private static final int[] RELAYS_PER_ZONE = {100, 30, 10, 3};

    private final TargetFigures figures;

    ServicePlacement(TargetFigures figures) {
        this.figures = figures;
    }

    /** Ways to place services on relays. */
    MarkdownTable services() {
        MarkdownTable table = new MarkdownTable(
                "way",
                "services a relay",
                "their units",
                "heap of these, MB",
                "units kept, " + MarkdownTable.figure(figures.of("unitsAService")) + " a service",
                "heap of these, MB",
                "relays a service",
                "outcomes of the mean service in a first stage, a relay",
                "relays at one unit",
                "busiest relay to the mean, high skew");
        addWay(table, "all relays all services", figures.of("services"), figures.of("relays"), 1);
        for (int relays : RELAYS_PER_ZONE) {
            addEvenPlacement(table, relays);
        }
        for (TargetFigures.Skew skew : TargetFigures.Skew.values()) {
            addWeightedPlacement(table, skew);
        }
        for (TargetFigures.Skew skew : TargetFigures.Skew.values()) {
            double requested = figures.services(skew).expectedDistinct(figures.of("meanReqs*demandS"));
            addWay(
                    table,
                    "by demand, held " + MarkdownTable.figure(figures.of("demandS")) + " s, " + skew.label(),
                    requested,
                    figures.of("relays"),
                    1);
        }
        return table;
    }

    private void addEvenPlacement(MarkdownTable table, int relays) {
        double largestShare = figures.services(TargetFigures.Skew.HIGH).share(1);
        addWay(
                table,
                "each service at " + relays + " relays of a zone",
                figures.of("services") * relays / figures.of("relaysAZone"),
                relays * figures.of("zones"),
                1 + figures.of("peakPerS/zones/meanReqs") / relays * largestShare);
    }

    private void addWeightedPlacement(MarkdownTable table, TargetFigures.Skew skew) {
        ZipfDistribution distribution = figures.services(skew);
        addWay(
                table,
                "by its weight, at least " + MarkdownTable.figure(figures.of("leastAZone")) + " of a zone, "
                        + skew.label(),
                meanServicesByWeight(distribution),
                relaysByWeight(1.0 / distribution.count()) * figures.of("zones"),
                1 + figures.of("mostOfRelay"));
    }

    /**
     * Adds one way: what a relay holds of it, and how many relays meet at an endpoint.
     *
     * @param services services of a relay
     * @param relaysPerService relays of the mean service
     * @param busiest load of the busiest relay to the mean
     */
    private void addWay(MarkdownTable table, String way, double services, double relaysPerService, double busiest) {
        double heapMbPerEndpoint = figures.of("heapPerUnit/1000000");
        double endpoints = services * figures.of("units/services");
        double keptEndpoints = Math.min(endpoints, services * figures.of("unitsAService"));
        table.row(
                way,
                services,
                endpoints,
                heapMbPerEndpoint * endpoints,
                keptEndpoints,
                heapMbPerEndpoint * keptEndpoints,
                relaysPerService,
                figures.of("peakPerS/services*firstCap*weighedS") / relaysPerService,
                relaysPerService * keptEndpoints / endpoints,
                busiest);
    }

    /** Services of a relay where each service is placed by its weight. */
    double meanServicesByWeight(ZipfDistribution services) {
        long placements = IntStream.rangeClosed(1, services.count())
                .mapToLong(rank -> relaysByWeight(services.share(rank)))
                .sum();
        return placements / figures.of("relaysAZone");
    }

    /** Relays of a zone for a service: so many that it fills no more than a part of each, and a minimum. */
    private long relaysByWeight(double share) {
        double wanted = Math.ceil(share * figures.of("peakPerS/zones/(mostOfRelay*meanReqs)"));
        return (long) Math.min(figures.of("relaysAZone"), Math.max(figures.of("leastAZone"), wanted));
    }

    /** Tenants whose requests a relay gets in a minute. */
    MarkdownTable tenants() {
        MarkdownTable table = new MarkdownTable("skew", "tenants", "met by a relay in a minute", "share of all");
        for (TargetFigures.Skew skew : TargetFigures.Skew.values()) {
            ZipfDistribution tenants = figures.tenants(skew);
            double met = tenants.expectedDistinct(figures.of("meanReqs*demandS"));
            table.row(figures.tenantExponent(skew), tenants.count(), met, met / tenants.count());
        }
        return table;
    }
}
