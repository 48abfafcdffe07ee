package gatelock.standin;

import static gatelock.standin.RawHttp.readMessage;
import static gatelock.standin.RawHttp.sendRequest;
import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;

/** Base class of the tests that run the relay as a process with stand-ins for all of its peers. */
public abstract class RelayTestCase {
    /** A release state as the release controller sends it. */
    protected static final String RELEASED_STATE =
            "{\"release\":1,\"tranche\":0,\"mode\":\"released\",\"exposure\":1.0,\"old_ms\":60000}";

    private static final int EXIT_TIMEOUT_S = 20;

    /** The relay, which each test starts itself. */
    protected RelayUnderTest relay;
    /** The endpoint that the configuration lists. */
    protected FakeServer endpoint;
    /** An endpoint that the configuration does not list; a test can add it to a list. */
    protected FakeServer otherEndpoint;
    /** The stand-in for discovery, which lists endpoints. */
    protected FakeServer discovery;
    /** The stand-in for the release controller. */
    protected FakeServer controller;

    /** Starts the stand-ins and writes the configuration of the relay. */
    @BeforeEach
    protected final void startStandIns() throws IOException {
        endpoint = new FakeServer();
        otherEndpoint = new FakeServer();
        discovery = new FakeServer();
        controller = new FakeServer();
        relay = new RelayUnderTest(endpoint, discovery, controller);
    }

    /** Stops the relay and the stand-ins. */
    @AfterEach
    protected final void stopStandIns() throws IOException {
        relay.close();
        for (FakeServer server : List.of(endpoint, otherEndpoint, discovery, controller)) {
            server.close();
        }
    }

    /** Starts the relay without warm-up, answers its discovery call with the configured list and waits until it is ready. */
    protected final void startRelay(String... arguments) throws IOException, InterruptedException {
        relay.launchWithoutWarmUp(arguments);
        HttpMessage call = discovery.awaitCall();
        while (!call.head().startsWith("GET /api/targets HTTP/1.1")) {
            call = discovery.awaitCall();
        }
        call.respond("200 OK", "", relay.configuredList());
        relay.awaitReady();
    }

    /** Sends a request on a new connection and checks that this endpoint serves it. */
    protected final void assertServedBy(FakeServer server, String traceId) throws IOException, InterruptedException {
        try (Socket client = relay.connect()) {
            assertServedBy(server, client, traceId);
        }
    }

    /** Sends a request on a connection and checks that this endpoint serves it. */
    protected static void assertServedBy(FakeServer server, Socket client, String traceId)
            throws IOException, InterruptedException {
        sendRequest(client, "GET /read", traceId, "", "");
        server.awaitCall().respond("200 OK", "", "there");
        assertThat(readMessage(client).body()).isEqualTo("there");
    }

    /** Stops the relay with SIGTERM and checks that it ends within 20 s and has logged no unexpected failure. */
    protected final void assertStopsCleanly() throws IOException, InterruptedException {
        relay.process().destroy();
        assertThat(relay.process().waitFor(EXIT_TIMEOUT_S, TimeUnit.SECONDS)).isTrue();
        assertThat(relay.log()).doesNotContain("unexpected");
    }
}
