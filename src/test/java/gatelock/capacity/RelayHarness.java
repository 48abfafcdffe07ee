package gatelock.capacity;

import gatelock.standin.FakeDeployment;
import gatelock.standin.LongListDiscovery;
import gatelock.standin.RelayProcess;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/** Starts relay processes with the platform's JVM flags, and the stand-ins that they connect to. */
final class RelayHarness {
    /** Number of endpoints that serve requests; all entries of a long list have the address of one of them. */
    static final int SERVING_ENDPOINTS = 4;

    static final long READY_TIMEOUT_MS = 30_000;
    private static final byte[] LOOPBACK = {127, 0, 0, 1};
    private static final long CHANGED_SINCE_MS = 1_764_000_000_000L;
    private static final int FIRST_QUOTA_PER_S = 10;
    private static final int QUOTAS = 90;

    private final Path directory;

    /**
     * Creates a harness.
     *
     * @param directory directory for the files of the relays
     */
    RelayHarness(Path directory) {
        this.directory = directory;
    }

    /** Returns the JVM flags of a relay process. */
    static List<String> flags() throws IOException {
        return RelayProcess.flags();
    }

    /** Starts a deployment whose endpoints respond without delay. */
    static FakeDeployment newDeployment() throws IOException {
        return new FakeDeployment(SERVING_ENDPOINTS, 0);
    }

    /** Starts a discovery stand-in with a list whose entries all have addresses of the deployment's endpoints. */
    static LongListDiscovery newList(FakeDeployment deployment, int size) {
        return new LongListDiscovery(size, number -> entry(deployment, number, 0));
    }

    /** Returns the entry of an endpoint after its change of the given index, or its first version if the index is 0. */
    static String entry(FakeDeployment deployment, int number, int change) {
        return LongListDiscovery.entry(
                number,
                deployment.address(number % SERVING_ENDPOINTS),
                number % 2 == 0 ? "east" : "west",
                "svc-" + number / DecisionHarness.ENDPOINTS_PER_SERVICE,
                "in_service",
                change == 0 ? 0 : CHANGED_SINCE_MS + change,
                1);
    }

    /** Starts a relay that follows the list under a name, with the given number of tenants in its settings. */
    RelayProcess start(FakeDeployment deployment, LongListDiscovery list, String name, int tenants) throws IOException {
        int port = RelayProcess.freePorts(1)[0];
        return RelayProcess.start(
                directory, port, newConfiguration(deployment, "127.0.0.1:" + port, list.address(name), tenants));
    }

    /** Returns the example configuration with the given deployment, discovery and tenants, and 16,000 sockets. */
    private static String newConfiguration(FakeDeployment deployment, String listen, String discovery, int tenants)
            throws IOException {
        StringBuilder orgs = new StringBuilder("\"orgs\": [{\"name\": \"acme\", \"quotaPerS\": 1000}");
        for (int i = 1; i < tenants; i++) {
            orgs.append(String.format(
                    ", {\"name\": \"tenant-%06d\", \"quotaPerS\": %d}", i, FIRST_QUOTA_PER_S + i % QUOTAS));
        }
        return deployment
                .configuration(Files.readString(Path.of("examples/relay.json")), listen)
                .replaceFirst("\"discovery\": \"127[^\"]*\"", "\"discovery\": \"" + discovery + "\"")
                .replaceFirst("\"orgs\": \\[\\{[^\\]]*", orgs.toString())
                .replace("\"sockets\": 1024", "\"sockets\": 16000");
    }

    /**
     * Waits until the relay is ready.
     *
     * @return milliseconds from its start until it is ready
     * @throws IOException if it does not become ready in time
     */
    static long awaitReady(RelayProcess relay) throws IOException, InterruptedException {
        long ms = relay.awaitReadyMs(READY_TIMEOUT_MS);
        if (ms < 0) {
            throw new IOException("the relay did not become ready; its log: " + relay.log());
        }
        return ms;
    }

    /** Returns the live heap of a relay process after a full garbage collection. */
    static long liveHeapBytes(RelayProcess relay) throws IOException, InterruptedException {
        return ClassHistogram.parse(relay.jcmd("GC.class_histogram")).totalBytes();
    }

    /** Returns a loopback address as a new object, because a relay has a separate address object for each endpoint. */
    static InetSocketAddress loopback(int port) throws UnknownHostException {
        return new InetSocketAddress(InetAddress.getByAddress(LOOPBACK), port);
    }

    /** Returns the port of an address of the form host:port. */
    static int port(String address) {
        return Integer.parseInt(address.substring(address.lastIndexOf(':') + 1));
    }
}
