package gatelock.simulator;

import gatelock.api.Endpoint;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Hosts many relays for the simulator: reads batches of lines from standard input and writes a reply to each batch to
 * standard output. The relays share only the endpoint lists that are sent in batches.
 */
public final class SimulatorHost {
    private static final int ENDPOINT_LISTS = 16;
    private static final int NS_PER_US = 1_000;
    private static final int EXIT_MALFORMED = 2;

    private final LineReader lines;
    private final ReplyWriter reply;
    private final Map<Integer, HostedRelay> relays = new HashMap<>();
    private final List<List<Endpoint>> endpointLists = new ArrayList<>(Collections.nCopies(ENDPOINT_LISTS, List.of()));

    /** Creates a host without relays. */
    SimulatorHost(InputStream in, OutputStream out) {
        this.lines = new LineReader(in);
        this.reply = new ReplyWriter(out);
    }

    /** Runs until the end of the input. On malformed input, prints a message and exits with status 2. */
    public static void main(String[] args) throws IOException {
        SimulatorHost host = new SimulatorHost(System.in, System.out);
        try {
            host.run();
        } catch (MalformedLineException | MalformedSettingException e) {
            host.exit(e.getMessage());
        } catch (IndexOutOfBoundsException e) {
            host.exit("expected an index that the settings or earlier lines define, " + e.getMessage());
        }
    }

    private void exit(String message) {
        System.err.println("gatelock: line " + lines.lineNumber() + ": " + message);
        System.exit(EXIT_MALFORMED);
    }

    /** Processes batches until the end of the input. */
    void run() throws IOException {
        Optional<FieldReader> line = lines.next();
        while (line.isPresent()) {
            FieldReader mark = line.get();
            LineReader.requireName(mark, "MARK");
            long nowUs = mark.requiredLong("clock") / NS_PER_US;
            reply.begin();
            handleBatch(nowUs);
            reply.end();
            line = lines.next();
        }
    }

    private void handleBatch(long nowUs) throws IOException {
        HostedRelay relay = null;
        while (true) {
            FieldReader fields = lines.next()
                    .orElseThrow(() -> new MalformedLineException("expected EOB, found the end of the input"));
            switch (fields.name()) {
                case "EOB" -> {
                    return;
                }
                case "CONTEXT" -> relay = relay(fields.requiredInt("instance"));
                case "MANIFEST" -> readEndpointList(fields);
                default -> {
                    if (relay == null) {
                        throw new MalformedLineException("expected CONTEXT before " + fields.name());
                    }
                    relay.handle(nowUs, fields);
                }
            }
        }
    }

    private HostedRelay relay(int number) {
        return relays.computeIfAbsent(number, n -> new HostedRelay(reply.actionsOf(n), endpointLists));
    }

    private void readEndpointList(FieldReader fields) throws IOException {
        int number = fields.requiredInt("list");
        int count = fields.requiredInt("elements");
        if (number < 0 || number >= ENDPOINT_LISTS || count < 0) {
            throw new MalformedLineException("expected a list number from 0 to 15 and a count");
        }
        List<Endpoint> endpoints = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            endpoints.add(readEndpoint(lines.next("M")));
        }
        endpointLists.set(number, endpoints);
    }

    private static Endpoint readEndpoint(FieldReader fields) {
        int build = fields.requiredInt("ver");
        String name = fields.requiredText("unit");
        int zone = fields.optionalInt(0);
        int instanceType = fields.optionalInt(0);
        int cell = fields.optionalInt(0);
        Endpoint.Health health =
                WireCodes.HEALTH_STATES.get(fields.requiredIndex("health", WireCodes.HEALTH_STATES.size()));
        fields.optionalDouble(1); // the weight, which the decision engine does not use
        long startedAtUs = fields.optionalLong(0) / NS_PER_US;
        return new Endpoint(name, build, zone, instanceType, cell, health, startedAtUs);
    }
}
