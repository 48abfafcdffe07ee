package gatelock.boot;

import com.fasterxml.jackson.databind.JsonNode;
import gatelock.config.ConfigDocument;
import gatelock.config.Diagnostic;
import gatelock.config.SchemaValidator;
import gatelock.discovery.ServiceNameExtractor;
import gatelock.membership.EndpointSubset;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Reads the operator's file and reports all problems in it. */
final class OperatorConfigReader {
    /**
     * Heap reserved for each endpoint in scope: twice the measured size. All endpoints in scope must fit into a quarter
     * of the heap. Guards against a scope that exhausts the heap, which would lose requests. A scope that would just
     * have fitted may be rejected.
     */
    private static final long HEAP_BYTES_PER_ENDPOINT = 3_200;

    private static final int HEAP_DIVISOR = 4;
    /** The heap size never limits the scope to fewer endpoints than this. */
    private static final int MIN_HEAP_LIMIT = 1_024;

    private static final int US_PER_MS = 1_000;
    private static final double US_PER_S = 1e6;
    private static final int MAX_PORT = 65_535;

    private static final double DEFAULT_SETTLE_S = 10;
    private static final long DEFAULT_MAX_LIST_BYTES = 64L << 20;
    private static final double DEFAULT_OPENS_PER_ENDPOINT_PER_S = 20;
    private static final double DEFAULT_DRAIN_TIMEOUT_S = 20;
    private static final long DEFAULT_HOLD_MS = 20_000;
    private static final int DEFAULT_MAX_VERSION_BYTES = 8 << 20;
    private static final long DEFAULT_MAX_BACKOFF_MS = 30_000;
    private static final double DEFAULT_MAX_DROPPED_SHARE = 0.5;
    private static final int DEFAULT_HISTORY_SIZE = 10;
    /** Placeholder for an invalid address; never used, because the file is rejected. */
    private static final InetSocketAddress INVALID_ADDRESS = new InetSocketAddress(InetAddress.getLoopbackAddress(), 1);

    private final RelayConfig deployment;
    private final List<Diagnostic> diagnostics = new ArrayList<>();

    private OperatorConfigReader(RelayConfig deployment) {
        this.deployment = deployment;
    }

    /**
     * Reads a file.
     *
     * @param file the operator's file
     * @param deployment the configuration of the relay that the file is for
     * @throws ConfigurationException with all problems in the file, each with its location and remedy
     */
    static OperatorConfig read(Path file, RelayConfig deployment) throws ConfigurationException {
        byte[] text;
        try {
            text = Files.readAllBytes(file);
        } catch (IOException e) {
            throw ConfigurationException.unreadableOperatorFile(file, e);
        }
        return new OperatorConfigReader(deployment).parse(file, text);
    }

    private OperatorConfig parse(Path file, byte[] text) throws ConfigurationException {
        ConfigDocument document = ConfigDocument.parse(text, diagnostics);
        if (document != null) {
            SchemaValidator.OPERATOR.validate(document, diagnostics);
        }
        OperatorConfig config = diagnostics.isEmpty() ? parse(document.root()) : null;
        if (!diagnostics.isEmpty()) {
            List<Diagnostic> located = document == null ? diagnostics : document.withLocations(diagnostics);
            throw ConfigurationException.inOperatorFile(file, located);
        }
        return config;
    }

    private OperatorConfig parse(JsonNode root) {
        InetSocketAddress listener = root.has("listener") ? parseListener(root.get("listener")) : null;
        JsonNode log = root.path("log");
        return new OperatorConfig(
                root.has("control") ? parseControl(root.get("control")) : null,
                root.has("sessions") ? parseSessions(root.get("sessions")) : null,
                root.has("membership") ? parseMembership(root.get("membership")) : null,
                listener,
                log.path("form").asText("plain").equals("json"),
                log.path("level").asText(null));
    }

    private InetSocketAddress parseListener(JsonNode node) {
        InetSocketAddress listener = parseAddress(node.asText(), "/listener");
        if (!listener.getAddress().isLoopbackAddress()) {
            report(
                    "O-LISTENER",
                    "/listener",
                    "the operator listener must be on loopback, because "
                            + "everyone who can connect to it can roll back to earlier versions",
                    "use an address in 127.0.0.0/8");
        }
        return listener;
    }

    private static OperatorConfig.Sessions parseSessions(JsonNode node) {
        return new OperatorConfig.Sessions(
                node.path("most").asInt(0),
                node.path("opensPerUnitS").asDouble(DEFAULT_OPENS_PER_ENDPOINT_PER_S),
                secondsToUs(node.path("drainS").asDouble(DEFAULT_DRAIN_TIMEOUT_S)));
    }

    private OperatorConfig.Control parseControl(JsonNode node) {
        List<InetSocketAddress> services = new ArrayList<>();
        for (int i = 0; i < node.get("services").size(); i++) {
            services.add(parseAddress(node.get("services").get(i).asText(), "/control/services/" + i));
        }
        String directory = node.path("directory").asText(null);
        return new OperatorConfig.Control(
                services,
                node.path("holdMs").asLong(DEFAULT_HOLD_MS),
                node.path("mostBytes").asInt(DEFAULT_MAX_VERSION_BYTES),
                node.path("mostWaitMs").asLong(DEFAULT_MAX_BACKOFF_MS) * US_PER_MS,
                directory == null ? null : Path.of(directory),
                node.path("mostDropped").asDouble(DEFAULT_MAX_DROPPED_SHARE),
                node.path("history").asInt(DEFAULT_HISTORY_SIZE));
    }

    private OperatorConfig.Membership parseMembership(JsonNode node) {
        int maxEndpoints = node.get("most").asInt();
        int minPerService = node.get("perService").asInt();
        int remotePerService = node.path("leastElsewhere").asInt(Math.min(1, minPerService - 1));
        String zone = node.path("zone").asText(null);
        List<String> zones = deployment.names("zones");
        checkSubsetBounds(maxEndpoints, minPerService, remotePerService);
        if (zone != null && !zones.contains(zone)) {
            report(
                    "O-SCOPE-ZONE",
                    "/membership/zone",
                    zone + " is not a zone of this deployment",
                    "use one of " + zones + ", or omit the zone if this relay is in none of them");
        }
        int minHolders = node.path("leastHolders").asInt(EndpointSubset.DEFAULT_MIN_RELAYS_PER_ENDPOINT);
        double fraction =
                Math.min(1, minHolders / (double) deployment.settings().relayCount());
        // If the relays are not numbered, the seed is used instead, as it also differs from relay to relay.
        long configuredNumber = node.path("number").asLong(deployment.settings().relayIndex());
        long relayNumber = configuredNumber < 0 ? deployment.settings().seed() : configuredNumber;
        EndpointSubset.Policy policy = new EndpointSubset.Policy(
                relayNumber,
                zone == null ? -1 : zones.indexOf(zone),
                maxEndpoints,
                minPerService,
                fraction,
                remotePerService,
                secondsToUs(node.path("settleS").asDouble(DEFAULT_SETTLE_S)));
        return new OperatorConfig.Membership(
                policy,
                parseServiceNames(node.path("service")),
                node.path("mostListBytes").asLong(DEFAULT_MAX_LIST_BYTES),
                node.toString());
    }

    private void checkSubsetBounds(int maxEndpoints, int minPerService, int remotePerService) {
        long heapShare = Runtime.getRuntime().maxMemory() / HEAP_DIVISOR;
        int heapLimit = (int) Math.max(MIN_HEAP_LIMIT, heapShare / HEAP_BYTES_PER_ENDPOINT);
        if (maxEndpoints > heapLimit) {
            report(
                    "O-SCOPE-HEAP",
                    "/membership/most",
                    "the heap of this relay has room for " + heapLimit + " units in scope, not " + maxEndpoints,
                    "use at most " + heapLimit + ", or give the relay more memory");
        }
        if (minPerService > maxEndpoints) {
            report(
                    "O-SCOPE-SERVICE",
                    "/membership/perService",
                    minPerService + " units of each service exceed the limit of " + maxEndpoints + " in the field most",
                    "use at most " + maxEndpoints);
        }
        if (remotePerService > minPerService) {
            report(
                    "O-SCOPE-ELSEWHERE",
                    "/membership/leastElsewhere",
                    remotePerService + " units in other zones exceed the " + minPerService
                            + " of each service in the field perService",
                    "use at most " + minPerService);
        }
    }

    private static ServiceNameExtractor parseServiceNames(JsonNode node) {
        if (node.has("label")) {
            return ServiceNameExtractor.byLabel(node.get("label").asText());
        }
        if (node.has("separator")) {
            return ServiceNameExtractor.byNamePrefix(node.get("separator").asText());
        }
        return ServiceNameExtractor.SINGLE_SERVICE;
    }

    private InetSocketAddress parseAddress(String text, String pointer) {
        int colon = text.lastIndexOf(':');
        int port = Integer.parseInt(text.substring(colon + 1));
        if (port > 0 && port <= MAX_PORT) {
            try {
                InetAddress host = InetAddress.getAllByName(text.substring(0, colon))[0];
                return new InetSocketAddress(host, port);
            } catch (UnknownHostException e) {
                // reported below
            }
        }
        report(
                "O-ADDRESS",
                pointer,
                text + " is not a usable address",
                "use a numeric address and a port from 1 to 65535");
        return INVALID_ADDRESS;
    }

    private void report(String code, String pointer, String problem, String remedy) {
        diagnostics.add(new Diagnostic(code, true, pointer, 0, 0, problem, remedy));
    }

    private static long secondsToUs(double seconds) {
        return (long) (seconds * US_PER_S);
    }
}
