package gatelock.capacity;

/** Table for the question of how configuration changes reach relays: it compares the methods of delivery. */
final class ConfigDeliveryTable {
    /** A method of delivery, with formulas of its costs for one relay. */
    private record DeliveryMethod(
            String name, String bytesPerS, String messageBytes, String cores, String catchUpBytes) {}

    private final TargetFigures figures;
    private final ServicePlacement placement;

    ConfigDeliveryTable(TargetFigures figures, ServicePlacement placement) {
        this.figures = figures;
        this.placement = placement;
    }

    /** Returns a table with the costs and the delay of each method. */
    MarkdownTable deliveryMethods() {
        MarkdownTable table = new MarkdownTable(
                "way",
                "bytes/s a relay",
                "of its bound",
                "one message, KB",
                "in force after, s",
                "within " + MarkdownTable.figure(figures.value("inForceSBound")) + " s",
                "cores a relay",
                "MB/s out of a machine",
                "to catch up after " + MarkdownTable.figure(figures.value("regionCutS")) + " s, KB",
                "s at the bound");
        String textBytes = "routes*routeBytes";
        String compileS = "max(0,cpuPerVersionUs0+cpuPerVersionUs*routes)/1000000";
        String deltaBytesPerS = "configPerS*busyHour*configChangeBytes";
        String deltaCores = "configPerS*busyHour*cpuPerVersionUs/1000000";
        String servedShare = "(" + servicesPerRelay() + "/services)";
        addMethod(
                table,
                new DeliveryMethod(
                        "one text a change",
                        "configPerS*" + textBytes,
                        textBytes,
                        "configPerS*" + compileS,
                        textBytes));
        addMethod(
                table,
                new DeliveryMethod(
                        "one text, the newest every 7 s",
                        "min(configPerS,1/inForceSBound)*" + textBytes,
                        textBytes,
                        "min(configPerS,1/inForceSBound)*" + compileS,
                        textBytes));
        addMethod(
                table,
                new DeliveryMethod(
                        "difference, each change",
                        "configPerS*configChangeBytes",
                        "configChangeBytes",
                        "configPerS*cpuPerVersionUs/1000000",
                        "regionCutS*configPerS*configChangeBytes"));
        addMethod(
                table,
                new DeliveryMethod(
                        "difference, gathered for a second in the busy hour",
                        deltaBytesPerS,
                        "configPerS*busyHour*batchS*configChangeBytes",
                        deltaCores,
                        "regionCutS*" + deltaBytesPerS));
        addMethod(
                table,
                new DeliveryMethod(
                        "difference, only routes of services served (by weight, high skew)",
                        deltaBytesPerS + "*" + servedShare,
                        "configChangeBytes",
                        deltaCores + "*" + servedShare,
                        "regionCutS*" + deltaBytesPerS + "*" + servedShare));
        return table;
    }

    private double servicesPerRelay() {
        return placement.meanServicesByWeight(figures.services(TargetFigures.Skew.HIGH));
    }

    private void addMethod(MarkdownTable table, DeliveryMethod method) {
        double bytesPerS = figures.value(method.bytesPerS);
        double messageBytes = figures.value(method.messageBytes);
        double catchUpBytes = figures.value(method.catchUpBytes);
        double boundBytesPerS = figures.value("relayBytesPerSBound");
        double inForceS = figures.value("batchS+2*hopS") + messageBytes / boundBytesPerS;
        table.row(
                method.name,
                bytesPerS,
                bytesPerS / boundBytesPerS,
                messageBytes / 1000,
                inForceS,
                inForceS <= figures.value("inForceSBound") ? "yes" : "**no**",
                figures.value(method.cores),
                figures.value("relaysAMachine") * bytesPerS / 1e6,
                catchUpBytes / 1000,
                catchUpBytes / boundBytesPerS);
    }
}
