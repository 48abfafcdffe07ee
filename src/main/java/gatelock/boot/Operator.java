package gatelock.boot;

import gatelock.plan.Draft;
import gatelock.plan.Finding;
import gatelock.plan.Form;

import com.fasterxml.jackson.databind.JsonNode;

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
record Operator(Control control, Sessions sessions, InetSocketAddress listener, boolean jsonLog,
    String logLevel) {

    /** Versioned configuration from a control service. */
    record Control(List<InetSocketAddress> services, long holdMs, int mostBytes, long mostWaitUs,
        Path directory,
                   double mostDropped, int history) {
    }

    /** WebSocket sessions; {@code most} 0: a tenth of the descriptors. */
    record Sessions(int most, double opensPerUnit, long drainUs) {
    }

    /** Reads a file; whatever is wrong in it is told, each with its place and what mends it. */
    static Operator read(Path file) throws IOException {
        byte[] text;
        try {
            text = Files.readAllBytes(file);
        } catch (IOException e) {
            throw new IOException("operator's file " + file + " can't be read: " + e, e);
        }
        List<Finding> findings = new ArrayList<>();
        Draft draft = Draft.read(text, findings);
        if (draft != null) {
            Form.OPERATOR.check(draft, findings);
        }
        Operator read = findings.isEmpty() ? of(draft.root(), findings) : null;
        if (!findings.isEmpty()) {
            List<Finding> told = draft == null ? findings : draft.placed(findings);
            throw new IOException(told.stream().map(f -> file + ":" + f).collect(Collectors.joining("\n")));
        }
        return read;
    }

    private static Operator of(JsonNode root, List<Finding> findings) {
        InetSocketAddress listener = root.has("listener") ? address(root.get("listener").asText(),
            "/listener", findings)
            : null;
        if (listener != null && !listener.getAddress().isLoopbackAddress()) {
            findings.add(new Finding("O-LISTENER", true, "/listener", 0, 0,
                "whoever reaches the operator's listener can go "
                + "back to earlier versions, so it must be on loopback", "name an address in 127.0.0.0/8"));
        }
        JsonNode log = root.path("log");
        return new Operator(root.has("control") ? control(root.get("control"), findings) : null,
            root.has("sessions") ? sessions(root.get("sessions")) : null, listener,
            log.path("form").asText("plain").equals("json"), log.path("level").asText(null));
    }

    private static Sessions sessions(JsonNode node) {
        return new Sessions(node.path("most").asInt(0), node.path("opensPerUnitS").asDouble(20),
            (long) (node.path("drainS").asDouble(20) * 1e6));
    }

    private static Control control(JsonNode node, List<Finding> findings) {
        List<InetSocketAddress> services = new ArrayList<>();
        for (int i = 0; i < node.get("services").size(); i++) {
            services.add(address(node.get("services").get(i).asText(), "/control/services/" + i, findings));
        }
        String directory = node.path("directory").asText(null);
        return new Control(services, node.path("holdMs").asLong(20_000), node.path("mostBytes")
            .asInt(8 << 20),
            node.path("mostWaitMs").asLong(30_000) * 1000, directory == null ? null : Path.of(directory),
            node.path("mostDropped").asDouble(0.5), node.path("history").asInt(10));
    }

    private static InetSocketAddress address(String text, String pointer, List<Finding> findings) {
        int colon = text.lastIndexOf(':');
        int port = Integer.parseInt(text.substring(colon + 1));
        InetSocketAddress address = port > 0 && port < 65_536
            ? new InetSocketAddress(text.substring(0, colon), port) : null;
        if (address == null || address.isUnresolved()) {
            findings.add(new Finding("O-ADDRESS", true, pointer, 0, 0, text
                + " is no address that can be reached",
                "use a numeric address and a port from 1 to 65535"));
            return new InetSocketAddress("127.0.0.1", 1);
        }
        return address;
    }
}
