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

/** Reads the operator's file and finds whatever is wrong in it. */
final class OperatorConfigReader {
    /**
     * Guards against a scope that fills the heap, of which requests would be lost: twice the bytes that an endpoint
     * was measured to take there, in a quarter of the heap. Could refuse a scope that would just have fitted.
     */
    private static final long HEAP_BYTES_PER_ENDPOINT = 3_200;

    private static final int HEAP_DIVISOR = 4;
    /** This many endpoints may be in scope whatever the heap. */
    private static final int MIN_SCOPE_LIMIT = 1_024;

    private static final int US_PER_MS = 1_000;
    private static final double US_PER_S = 1e6;
    private static final int MAX_PORT = 65_535;

    private static final double DEFAULT_SETTLE_S = 10;
    private static final long DEFAULT_MAX_LIST_BYTES = 64L << 20;
    private static final double DEFAULT_OPENS_PER_ENDPOINT = 20;
    private static final double DEFAULT_DRAIN_S = 20;
    private static final long DEFAULT_HOLD_MS = 20_000;
    private static final int DEFAULT_MAX_VERSION_BYTES = 8 << 20;
    private static final long DEFAULT_MAX_BACKOFF_MS = 30_000;
    private static final double DEFAULT_MAX_DROPPED = 0.5;
    private static final int DEFAULT_HISTORY = 10;
    /** Stands for an address that was found to be wrong; never used, as the file is refused. */
    private static final InetSocketAddress NO_ADDRESS = new InetSocketAddress(InetAddress.getLoopbackAddress(), 1);

    private final RelayConfig deployment;
    private final List<Diagnostic> diagnostics = new ArrayList<>();

    private OperatorConfigReader(RelayConfig deployment) {
        this.deployment = deployment;
    }

    /**
     * Reads a file.
     *
     * @param deployment the relay's configuration that the file is for
     * @throws ConfigurationException with all that is wrong, each with its place and what mends it
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
            List<Diagnostic> placed = document == null ? diagnostics : document.withLocations(diagnostics);
            throw ConfigurationException.inOperatorFile(file, placed);
        }
        return config;
    }

    private OperatorConfig parse(JsonNode root) {
        InetSocketAddress listener = root.has("listener") ? listener(root.get("listener")) : null;
        JsonNode log = root.path("log");
        return new OperatorConfig(
                root.has("control") ? control(root.get("control")) : null,
                root.has("sessions") ? sessions(root.get("sessions")) : null,
                root.has("membership") ? membership(root.get("membership")) : null,
                listener,
                log.path("form").asText("plain").equals("json"),
                log.path("level").asText(null));
    }

    private InetSocketAddress listener(JsonNode node) {
        InetSocketAddress listener = address(node.asText(), "/listener");
        if (!listener.getAddress().isLoopbackAddress()) {
            report(
                    "O-LISTENER",
                    "/listener",
                    "whoever reaches the operator's listener can go "
                            + "back to earlier versions, so it must be on loopback",
                    "name an address in 127.0.0.0/8");
        }
        return listener;
    }

    private static OperatorConfig.Sessions sessions(JsonNode node) {
        return new OperatorConfig.Sessions(
                node.path("most").asInt(0),
                node.path("opensPerUnitS").asDouble(DEFAULT_OPENS_PER_ENDPOINT),
                secondsToUs(node.path("drainS").asDouble(DEFAULT_DRAIN_S)));
    }

    private OperatorConfig.Control control(JsonNode node) {
        List<InetSocketAddress> services = new ArrayList<>();
        for (int i = 0; i < node.get("services").size(); i++) {
            services.add(address(node.get("services").get(i).asText(), "/control/services/" + i));
        }
        String directory = node.path("directory").asText(null);
        return new OperatorConfig.Control(
                services,
                node.path("holdMs").asLong(DEFAULT_HOLD_MS),
                node.path("mostBytes").asInt(DEFAULT_MAX_VERSION_BYTES),
                node.path("mostWaitMs").asLong(DEFAULT_MAX_BACKOFF_MS) * US_PER_MS,
                directory == null ? null : Path.of(directory),
                node.path("mostDropped").asDouble(DEFAULT_MAX_DROPPED),
                node.path("history").asInt(DEFAULT_HISTORY));
    }

    private OperatorConfig.Membership membership(JsonNode node) {
        int most = node.get("most").asInt();
        int perService = node.get("perService").asInt();
        int elsewhere = node.path("leastElsewhere").asInt(Math.min(1, perService - 1));
        String zone = node.path("zone").asText(null);
        List<String> zones = deployment.names("zones");
        checkScope(most, perService, elsewhere);
        if (zone != null && !zones.contains(zone)) {
            report(
                    "O-SCOPE-ZONE",
                    "/membership/zone",
                    zone + " is no zone of this deployment",
                    "name one of " + zones + ", or leave it out where this relay stands in none");
        }
        int holders = node.path("leastHolders").asInt(EndpointSubset.DEFAULT_MIN_HOLDERS);
        double part = Math.min(1, holders / (double) deployment.settings().relayCount());
        // The seed is this relay's own as well, where nobody numbers the relays.
        long givenNumber = node.path("number").asLong(deployment.settings().relayIndex());
        long number = givenNumber < 0 ? deployment.settings().seed() : givenNumber;
        EndpointSubset.Policy terms = new EndpointSubset.Policy(
                number,
                zone == null ? -1 : zones.indexOf(zone),
                most,
                perService,
                part,
                elsewhere,
                secondsToUs(node.path("settleS").asDouble(DEFAULT_SETTLE_S)));
        return new OperatorConfig.Membership(
                terms,
                serviceName(node.path("service")),
                node.path("mostListBytes").asLong(DEFAULT_MAX_LIST_BYTES),
                node.toString());
    }

    private void checkScope(int most, int perService, int elsewhere) {
        long heapShare = Runtime.getRuntime().maxMemory() / HEAP_DIVISOR;
        int heapLimit = (int) Math.max(MIN_SCOPE_LIMIT, heapShare / HEAP_BYTES_PER_ENDPOINT);
        if (most > heapLimit) {
            report(
                    "O-SCOPE-HEAP",
                    "/membership/most",
                    "this relay's heap bears " + heapLimit + " units in scope, not " + most,
                    "name at most " + heapLimit + ", or give the relay more memory");
        }
        if (perService > most) {
            report(
                    "O-SCOPE-SERVICE",
                    "/membership/perService",
                    perService + " units of one service are more than the " + most + " of all that most allows",
                    "name at most " + most);
        }
        if (elsewhere > perService) {
            report(
                    "O-SCOPE-ELSEWHERE",
                    "/membership/leastElsewhere",
                    elsewhere + " units in other zones are more than the " + perService
                            + " of a service that perService allows",
                    "name at most " + perService);
        }
    }

    private static ServiceNameExtractor serviceName(JsonNode node) {
        if (node.has("label")) {
            return ServiceNameExtractor.byLabel(node.get("label").asText());
        }
        if (node.has("separator")) {
            return ServiceNameExtractor.byNamePrefix(node.get("separator").asText());
        }
        return ServiceNameExtractor.SINGLE_SERVICE;
    }

    private InetSocketAddress address(String text, String pointer) {
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
                text + " is no address that can be reached",
                "use a numeric address and a port from 1 to 65535");
        return NO_ADDRESS;
    }

    private void report(String code, String pointer, String wrong, String remedy) {
        diagnostics.add(new Diagnostic(code, true, pointer, 0, 0, wrong, remedy));
    }

    private static long secondsToUs(double seconds) {
        return (long) (seconds * US_PER_S);
    }
}
