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

/** Relay processes with the platform's flags, and the stand-ins that they talk to. */
final class RelayHarness {
    /** Endpoints that really serve; all entries of a long list lead to them. */
    static final int SERVING_ENDPOINTS = 4;

    static final long READY_WITHIN_MS = 30_000;
    private static final byte[] LOOPBACK = {127, 0, 0, 1};
    private static final long CHANGES_SINCE_MS = 1_764_000_000_000L;
    private static final int FIRST_QUOTA_PER_S = 10;
    private static final int QUOTAS = 90;

    private final Path directory;

    /** @param directory where the relays keep their files */
    RelayHarness(Path directory) {
        this.directory = directory;
    }

    /** The JVM flags of a relay process. */
    static List<String> flags() throws IOException {
        return RelayProcess.flags();
    }

    static FakeDeployment deployment() throws IOException {
        return new FakeDeployment(SERVING_ENDPOINTS, 0);
    }

    /** A list of so many entries, all of which lead to the deployment's endpoints. */
    static LongListDiscovery list(FakeDeployment deployment, int size) {
        return new LongListDiscovery(size, number -> entry(deployment, number, 0));
    }

    /** The entry of a number as its change of an index has it; 0: as it was at first. */
    static String entry(FakeDeployment deployment, int number, int change) {
        return LongListDiscovery.entry(
                number,
                deployment.address(number % SERVING_ENDPOINTS),
                number % 2 == 0 ? "east" : "west",
                "svc-" + number / DecisionHarness.ENDPOINTS_PER_SERVICE,
                "in_service",
                change == 0 ? 0 : CHANGES_SINCE_MS + change,
                1);
    }

    /** Starts a relay that follows the list under a name, with so many tenants in its settings. */
    RelayProcess start(FakeDeployment deployment, LongListDiscovery list, String name, int tenants) throws IOException {
        int port = RelayProcess.freePorts(1)[0];
        return RelayProcess.start(
                directory, port, configuration(deployment, "127.0.0.1:" + port, list.address(name), tenants));
    }

    /** The example's configuration with this deployment, this discovery and these tenants, and many sockets. */
    private static String configuration(FakeDeployment deployment, String listen, String discovery, int tenants)
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
     * @return milliseconds since its start
     * @throws IOException where it does not become ready
     */
    static long awaitReady(RelayProcess relay) throws IOException, InterruptedException {
        long ms = relay.awaitReadyMs(READY_WITHIN_MS);
        if (ms < 0) {
            throw new IOException("not ready: " + relay.log());
        }
        return ms;
    }

    /** Live heap of a relay process after a full collection. */
    static long liveHeapBytes(RelayProcess relay) throws IOException, InterruptedException {
        return ClassHistogram.parse(relay.jcmd("GC.class_histogram")).totalBytes();
    }

    /** An address of this host, with an address object of its own as a relay has for each endpoint. */
    static InetSocketAddress loopback(int port) throws UnknownHostException {
        return new InetSocketAddress(InetAddress.getByAddress(LOOPBACK), port);
    }

    /** The port of an address of the form host:port. */
    static int port(String address) {
        return Integer.parseInt(address.substring(address.lastIndexOf(':') + 1));
    }
}
