package gatelock.capacity;

import java.util.stream.IntStream;

/** Tables for the question of which relays serve which services: ways to place services, and the costs of each. */
final class ServicePlacement {
    private static final int[] RELAYS_PER_ZONE = {100, 30, 10, 3};

    private final TargetFigures figures;

    ServicePlacement(TargetFigures figures) {
        this.figures = figures;
    }

    /** Returns the ways to place services on relays, with what a relay holds for each. */
    MarkdownTable placements() {
        MarkdownTable table = new MarkdownTable(
                "way",
                "services a relay",
                "their units",
                "heap of these, MB",
                "units kept, " + MarkdownTable.figure(figures.value("unitsAService")) + " a service",
                "heap of these, MB",
                "relays a service",
                "outcomes of the mean service in a first stage, a relay",
                "relays at one unit",
                "busiest relay to the mean, high skew");
        addPlacement(table, "all relays all services", figures.value("services"), figures.value("relays"), 1);
        for (int relays : RELAYS_PER_ZONE) {
            addEvenPlacement(table, relays);
        }
        for (TargetFigures.Skew skew : TargetFigures.Skew.values()) {
            addWeightedPlacement(table, skew);
        }
        for (TargetFigures.Skew skew : TargetFigures.Skew.values()) {
            double requestedServices = figures.services(skew).expectedDistinct(figures.value("meanReqs*demandS"));
            addPlacement(
                    table,
                    "by demand, held " + MarkdownTable.figure(figures.value("demandS")) + " s, " + skew.label(),
                    requestedServices,
                    figures.value("relays"),
                    1);
        }
        return table;
    }

    private void addEvenPlacement(MarkdownTable table, int relays) {
        double largestShare = figures.services(TargetFigures.Skew.HIGH).share(1);
        addPlacement(
                table,
                "each service at " + relays + " relays of a zone",
                figures.value("services") * relays / figures.value("relaysAZone"),
                relays * figures.value("zones"),
                1 + figures.value("peakPerS/zones/meanReqs") / relays * largestShare);
    }

    private void addWeightedPlacement(MarkdownTable table, TargetFigures.Skew skew) {
        ZipfDistribution distribution = figures.services(skew);
        addPlacement(
                table,
                "by its weight, at least " + MarkdownTable.figure(figures.value("leastAZone")) + " of a zone, "
                        + skew.label(),
                meanServicesByWeight(distribution),
                relaysByWeight(1.0 / distribution.count()) * figures.value("zones"),
                1 + figures.value("mostOfRelay"));
    }

    /**
     * Adds a way to place services: what a relay holds with it, and how many relays send requests to an endpoint.
     *
     * @param services number of services that a relay holds
     * @param relaysPerService number of relays that hold the mean service
     * @param busiestToMean ratio of the load of the busiest relay to the mean load
     */
    private void addPlacement(
            MarkdownTable table, String placement, double services, double relaysPerService, double busiestToMean) {
        double heapMbPerEndpoint = figures.value("heapPerUnit/1000000");
        double endpoints = services * figures.value("units/services");
        double keptEndpoints = Math.min(endpoints, services * figures.value("unitsAService"));
        table.row(
                placement,
                services,
                endpoints,
                heapMbPerEndpoint * endpoints,
                keptEndpoints,
                heapMbPerEndpoint * keptEndpoints,
                relaysPerService,
                figures.value("peakPerS/services*firstCap*weighedS") / relaysPerService,
                relaysPerService * keptEndpoints / endpoints,
                busiestToMean);
    }

    /** Returns the mean number of services that a relay holds if services are placed by their share of the requests. */
    double meanServicesByWeight(ZipfDistribution services) {
        long placements = IntStream.rangeClosed(1, services.count())
                .mapToLong(rank -> relaysByWeight(services.share(rank)))
                .sum();
        return placements / figures.value("relaysAZone");
    }

    /**
     * Returns the number of relays in a zone that serve a service: enough that the service causes at most a given part
     * of the load of each relay, and at least a given minimum.
     */
    private long relaysByWeight(double share) {
        double relaysNeeded = Math.ceil(share * figures.value("peakPerS/zones/(mostOfRelay*meanReqs)"));
        return (long) Math.min(figures.value("relaysAZone"), Math.max(figures.value("leastAZone"), relaysNeeded));
    }

    /** Returns the expected number of tenants from which a relay gets requests within a minute, by skew. */
    MarkdownTable tenantsPerRelay() {
        MarkdownTable table = new MarkdownTable("skew", "tenants", "met by a relay in a minute", "share of all");
        for (TargetFigures.Skew skew : TargetFigures.Skew.values()) {
            ZipfDistribution tenants = figures.tenants(skew);
            double expectedTenants = tenants.expectedDistinct(figures.value("meanReqs*demandS"));
            table.row(
                    figures.tenantExponent(skew), tenants.count(), expectedTenants, expectedTenants / tenants.count());
        }
        return table;
    }
}
