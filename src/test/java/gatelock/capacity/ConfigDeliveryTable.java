package gatelock.capacity;

/** The question how changes come: ways to deliver changes of the configuration to relays. */
final class ConfigDeliveryTable {
    /** A way, with formulas of its figures for one relay. */
    private record Way(String name, String bytesPerS, String messageBytes, String cores, String catchUpBytes) {}

    private final TargetFigures figures;
    private final ServicePlacement placement;

    ConfigDeliveryTable(TargetFigures figures, ServicePlacement placement) {
        this.figures = figures;
        this.placement = placement;
    }

    MarkdownTable changes() {
        MarkdownTable table = new MarkdownTable(
                "way",
                "bytes/s a relay",
                "of its bound",
                "one message, KB",
                "in force after, s",
                "within " + MarkdownTable.figure(figures.of("inForceSBound")) + " s",
                "cores a relay",
                "MB/s out of a machine",
                "to catch up after " + MarkdownTable.figure(figures.of("regionCutS")) + " s, KB",
                "s at the bound");
        String text = "routes*routeBytes";
        String compile = "max(0,cpuPerVersionUs0+cpuPerVersionUs*routes)/1000000";
        String differences = "configPerS*busyHour*configChangeBytes";
        String differenceCores = "configPerS*busyHour*cpuPerVersionUs/1000000";
        String servedShare = "(" + servicesPerRelay() + "/services)";
        add(table, new Way("one text a change", "configPerS*" + text, text, "configPerS*" + compile, text));
        add(
                table,
                new Way(
                        "one text, the newest every 7 s",
                        "min(configPerS,1/inForceSBound)*" + text,
                        text,
                        "min(configPerS,1/inForceSBound)*" + compile,
                        text));
        add(
                table,
                new Way(
                        "difference, each change",
                        "configPerS*configChangeBytes",
                        "configChangeBytes",
                        "configPerS*cpuPerVersionUs/1000000",
                        "regionCutS*configPerS*configChangeBytes"));
        add(
                table,
                new Way(
                        "difference, gathered for a second in the busy hour",
                        differences,
                        "configPerS*busyHour*batchS*configChangeBytes",
                        differenceCores,
                        "regionCutS*" + differences));
        add(
                table,
                new Way(
                        "difference, only routes of services served (by weight, high skew)",
                        differences + "*" + servedShare,
                        "configChangeBytes",
                        differenceCores + "*" + servedShare,
                        "regionCutS*" + differences + "*" + servedShare));
        return table;
    }

    private double servicesPerRelay() {
        return placement.meanServicesByWeight(figures.services(TargetFigures.Skew.HIGH));
    }

    private void add(MarkdownTable table, Way way) {
        double bytesPerS = figures.of(way.bytesPerS);
        double messageBytes = figures.of(way.messageBytes);
        double catchUpBytes = figures.of(way.catchUpBytes);
        double boundBytesPerS = figures.of("relayBytesPerSBound");
        double inForceS = figures.of("batchS+2*hopS") + messageBytes / boundBytesPerS;
        table.row(
                way.name,
                bytesPerS,
                bytesPerS / boundBytesPerS,
                messageBytes / 1000,
                inForceS,
                inForceS <= figures.of("inForceSBound") ? "yes" : "**no**",
                figures.of(way.cores),
                figures.of("relaysAMachine") * bytesPerS / 1e6,
                catchUpBytes / 1000,
                catchUpBytes / boundBytesPerS);
    }
}
