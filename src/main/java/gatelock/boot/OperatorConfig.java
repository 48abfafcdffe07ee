package gatelock.boot;

import com.fasterxml.jackson.databind.JsonNode;
import gatelock.config.ConfigDocument;
import gatelock.config.Diagnostic;
import gatelock.config.SchemaValidator;
import gatelock.discovery.ServiceNameExtractor;
import gatelock.membership.EndpointSubset;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;

/**
 * The operator's own file: all that a relay does beyond what the platform tells it. Without one all of it is
 * off.
 */
record OperatorConfig(
        Control control,
        Sessions sessions,
        Membership membership,
        InetSocketAddress listener,
        boolean jsonLog,
        String logLevel) {

    /**
     * Guards against a scope that fills the heap, of which requests would be lost: twice what an endpoint was measured to
     * take there, in a quarter of it. Could refuse a scope that would just have fitted.
     */
    private static final long HEAP_FOR_A_UNIT = 3_200;

    private static final int HEAP_SHARE = 4;
    /** So many endpoints may be in scope in any heap. */
    private static final int LEAST_BORNE = 1_024;

    private static final long MOST_LIST_BYTES = 64L << 20;
    private static final double SETTLE_S = 10;

    /** Versioned configuration from a control service. */
    record Control(
            List<InetSocketAddress> services,
            long holdMs,
            int mostBytes,
            long mostWaitUs,
            Path directory,
            double mostDropped,
            int history) {}

    /** WebSocket sessions; {@code most} 0: a tenth of the descriptors. */
    record Sessions(int most, double opensPerEndpoint, long drainUs) {}

    /** Which endpoints are used of those that are listed, and how long an answer with a list may be. */
    record Membership(EndpointSubset.Terms terms, ServiceNameExtractor service, long mostListBytes, String text) {

        /** Whether the file says the same. */
        boolean same(Membership other) {
            return other != null && text.equals(other.text);
        }
    }

    /**
     * Reads a file; whatever is wrong in it is told, each with its place and what mends it.
     *
     * @param told the deployment that it is for
     */
    static OperatorConfig read(Path file, RelayConfig told) throws IOException {
        byte[] text;
        try {
            text = Files.readAllBytes(file);
        } catch (IOException e) {
            throw new IOException("operator's file " + file + " can't be read: " + e, e);
        }
        List<Diagnostic> findings = new ArrayList<>();
        ConfigDocument draft = ConfigDocument.read(text, findings);
        if (draft != null) {
            SchemaValidator.OPERATOR.check(draft, findings);
        }
        OperatorConfig read = findings.isEmpty() ? of(draft.root(), told, findings) : null;
        if (!findings.isEmpty()) {
            List<Diagnostic> placed = draft == null ? findings : draft.placed(findings);
            throw new IOException(placed.stream().map(f -> file + ":" + f).collect(Collectors.joining("\n")));
        }
        return read;
    }

    private static OperatorConfig of(JsonNode root, RelayConfig told, List<Diagnostic> findings) {
        InetSocketAddress listener =
                root.has("listener") ? address(root.get("listener").asText(), "/listener", findings) : null;
        if (listener != null && !listener.getAddress().isLoopbackAddress()) {
            findings.add(new Diagnostic(
                    "O-LISTENER",
                    true,
                    "/listener",
                    0,
                    0,
                    "whoever reaches the operator's listener can go "
                            + "back to earlier versions, so it must be on loopback",
                    "name an address in 127.0.0.0/8"));
        }
        JsonNode log = root.path("log");
        return new OperatorConfig(
                root.has("control") ? control(root.get("control"), findings) : null,
                root.has("sessions") ? sessions(root.get("sessions")) : null,
                root.has("membership") ? membership(root.get("membership"), told, findings) : null,
                listener,
                log.path("form").asText("plain").equals("json"),
                log.path("level").asText(null));
    }

    private static Sessions sessions(JsonNode node) {
        return new Sessions(
                node.path("most").asInt(0), node.path("opensPerUnitS").asDouble(20), (long)
                        (node.path("drainS").asDouble(20) * 1e6));
    }

    private static Membership membership(JsonNode node, RelayConfig told, List<Diagnostic> findings) {
        int most = node.get("most").asInt();
        int perService = node.get("perService").asInt();
        int elsewhere = node.path("leastElsewhere").asInt(Math.min(1, perService - 1));
        int bears = (int) Math.max(LEAST_BORNE, Runtime.getRuntime().maxMemory() / HEAP_SHARE / HEAP_FOR_A_UNIT);
        if (most > bears) {
            wrong(
                    findings,
                    "O-SCOPE-HEAP",
                    "most",
                    "this relay's heap bears " + bears + " units in scope, not " + most,
                    "name at most " + bears + ", or give the relay more memory");
        }
        if (perService > most) {
            wrong(
                    findings,
                    "O-SCOPE-SERVICE",
                    "perService",
                    perService + " units of one service are more than the " + most + " of all that most allows",
                    "name at most " + most);
        }
        if (elsewhere > perService) {
            wrong(
                    findings,
                    "O-SCOPE-ELSEWHERE",
                    "leastElsewhere",
                    elsewhere + " units in other zones are more than " + "the " + perService
                            + " of a service that perService allows",
                    "name at most " + perService);
        }
        List<String> zones = told.plain("zones");
        String zone = node.path("zone").asText(null);
        if (zone != null && !zones.contains(zone)) {
            wrong(
                    findings,
                    "O-SCOPE-ZONE",
                    "zone",
                    zone + " is no zone of this deployment",
                    "name one of " + zones + ", or leave it out where this relay stands in none");
        }
        int holders = node.path("leastHolders").asInt(EndpointSubset.LEAST_HOLDERS);
        double part = Math.min(1, holders / (double) told.charter().relays());
        // The seed is this relay's own as well, where nobody numbers the relays.
        long numbered = node.path("number").asLong(told.charter().number());
        long number = numbered < 0 ? told.charter().seed() : numbered;
        JsonNode service = node.path("service");
        ServiceNameExtractor name = service.has("label")
                ? ServiceNameExtractor.byLabel(service.get("label").asText())
                : service.has("separator")
                        ? ServiceNameExtractor.before(service.get("separator").asText())
                        : ServiceNameExtractor.ONE;
        return new Membership(
                new EndpointSubset.Terms(
                        number, zone == null ? -1 : zones.indexOf(zone), most, perService, part, elsewhere, (long)
                                (node.path("settleS").asDouble(SETTLE_S) * 1e6)),
                name,
                node.path("mostListBytes").asLong(MOST_LIST_BYTES),
                node.toString());
    }

    private static void wrong(List<Diagnostic> findings, String code, String field, String wrong, String mend) {
        findings.add(
                new Diagnostic(code, true, "/membership" + (field.isEmpty() ? "" : "/" + field), 0, 0, wrong, mend));
    }

    private static Control control(JsonNode node, List<Diagnostic> findings) {
        List<InetSocketAddress> services = new ArrayList<>();
        for (int i = 0; i < node.get("services").size(); i++) {
            services.add(address(node.get("services").get(i).asText(), "/control/services/" + i, findings));
        }
        String directory = node.path("directory").asText(null);
        return new Control(
                services,
                node.path("holdMs").asLong(20_000),
                node.path("mostBytes").asInt(8 << 20),
                node.path("mostWaitMs").asLong(30_000) * 1000,
                directory == null ? null : Path.of(directory),
                node.path("mostDropped").asDouble(0.5),
                node.path("history").asInt(10));
    }

    private static InetSocketAddress address(String text, String pointer, List<Diagnostic> findings) {
        int colon = text.lastIndexOf(':');
        int port = Integer.parseInt(text.substring(colon + 1));
        InetSocketAddress address =
                port > 0 && port < 65_536 ? new InetSocketAddress(text.substring(0, colon), port) : null;
        if (address == null || address.isUnresolved()) {
            findings.add(new Diagnostic(
                    "O-ADDRESS",
                    true,
                    pointer,
                    0,
                    0,
                    text + " is no address that can be reached",
                    "use a numeric address and a port from 1 to 65535"));
            return new InetSocketAddress("127.0.0.1", 1);
        }
        return address;
    }
}
