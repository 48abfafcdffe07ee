package gatelock.capacity;

import gatelock.standin.FakeDeployment;
import gatelock.standin.LoadGenerator;
import gatelock.standin.LongListDiscovery;
import gatelock.standin.RelayProcess;
import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;

/** Measures the memory of a relay process by the number of tenants and of client connections. */
final class RelayHeapCosts {
    private static final int[] TENANTS = {1_000, 5_000, 10_000, 20_000};
    private static final int[] CONNECTIONS = {100, 500, 1_000, 2_000};
    private static final long BYTES_PER_MIB = 1 << 20;

    private final SlopeResults results;
    private final RelayHarness harness;

    RelayHeapCosts(SlopeResults results, RelayHarness harness) {
        this.results = results;
        this.harness = harness;
    }

    /** Measures the live heap by the number of tenants. */
    void measureTenants() throws Exception {
        List<Fit.Point> heap = new ArrayList<>();
        for (int tenants : TENANTS) {
            try (FakeDeployment deployment = RelayHarness.newDeployment();
                    LongListDiscovery list = RelayHarness.newList(deployment, RelayHarness.SERVING_ENDPOINTS);
                    RelayProcess relay = harness.start(deployment, list, "r", tenants)) {
                RelayHarness.awaitReady(relay);
                heap.add(new Fit.Point(tenants, RelayHarness.liveHeapBytes(relay)));
            }
        }
        results.addSlope(
                new SlopeResults.Description(
                        "heapPerTenant",
                        "live heap of a relay's process by tenants in its settings, idle",
                        "tenants",
                        "bytes",
                        "Slopes.tenants: jcmd GC.class_histogram, a process with the platform's flags each"),
                heap);
    }

    /** Measures the live heap and the resident memory by the number of idle client connections. */
    void measureConnections() throws Exception {
        List<Fit.Point> heap = new ArrayList<>();
        List<Fit.Point> resident = new ArrayList<>();
        List<Socket> sockets = new ArrayList<>();
        try (FakeDeployment deployment = RelayHarness.newDeployment();
                LongListDiscovery list = RelayHarness.newList(deployment, RelayHarness.SERVING_ENDPOINTS);
                RelayProcess relay = harness.start(deployment, list, "r", 1)) {
            RelayHarness.awaitReady(relay);
            for (int connections : CONNECTIONS) {
                openUpTo(connections, relay, sockets);
                heap.add(new Fit.Point(connections, RelayHarness.liveHeapBytes(relay)));
                resident.add(new Fit.Point(connections, relay.residentMb() * BYTES_PER_MIB));
            }
        } finally {
            for (Socket socket : sockets) {
                socket.close();
            }
        }
        results.addSlope(
                new SlopeResults.Description(
                        "heapPerConnection",
                        "live heap of a client's connection that stands idle after a req",
                        "connections",
                        "bytes",
                        "Slopes.connections: jcmd GC.class_histogram, one process with the platform's flags"),
                heap);
        results.addSlope(
                new SlopeResults.Description(
                        "residentPerConnection",
                        "resident memory of the process by the same; the young generation fills beside it",
                        "connections",
                        "bytes",
                        "Slopes.connections: VmRSS"),
                resident);
    }

    /** Opens connections until their number reaches the given one, and sends one request on each. */
    private static void openUpTo(int connections, RelayProcess relay, List<Socket> sockets) throws IOException {
        while (sockets.size() < connections) {
            Socket socket = LoadGenerator.open(relay.port);
            sockets.add(socket);
            if (LoadGenerator.requestStatus(socket, "c" + sockets.size()) != 200) {
                throw new IOException("expected status 200 for the request on connection " + sockets.size());
            }
        }
    }
}
