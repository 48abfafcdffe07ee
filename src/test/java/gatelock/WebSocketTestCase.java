package gatelock;

import static org.assertj.core.api.Assertions.assertThat;

import gatelock.standin.ControlService;
import gatelock.standin.RelayTestCase;
import gatelock.standin.WebSocketEndpoint;
import gatelock.standin.WebSocketPeer;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.io.TempDir;

/** Base class of the tests of WebSocket sessions: runs a relay that permits them and an endpoint that echoes. */
abstract class WebSocketTestCase extends RelayTestCase {
    private static final String CONFIG_VERSION = "{\"format\": 1, \"unmatched\": \"refuse\", \"limits\": {\"few\": "
            + "{\"inFlight\": 40}},"
            + " \"routes\": [{\"name\": \"quick\", \"path\": \"/read/quick\", \"class\": \"read\", "
            + "\"sessions\": {\"pingS\": 0.5}},"
            + " {\"name\": \"watch\", \"path\": \"/read\", \"class\": \"read\", \"limits\": [\"few\"],"
            + " \"sessions\": {\"messageBytes\": 1000, \"pingS\": 10, \"idleS\": 30, \"framesPerS\": 300}}]}";

    @TempDir
    private Path directory;

    private ControlService control;
    /** The endpoint that the configuration lists. */
    protected WebSocketEndpoint webSocketEndpoint;

    @BeforeEach
    final void startRelayWithSessions() throws Exception {
        control = new ControlService();
        webSocketEndpoint = new WebSocketEndpoint();
        relay.writeConfig(relay.configText()
                .replace(endpoint.address(), listedEndpoint())
                .replace("\"deadlineNs\": 1000000000", "\"deadlineNs\": 2500000000")
                .replace("\"sockets\": 1024", "\"sockets\": " + maxDescriptors()));
        control.publish(1, "s", 1, CONFIG_VERSION);
        Path operator = directory.resolve("operator.json");
        Files.writeString(
                operator,
                "{\"control\": {\"services\": [\"" + control.address()
                        + "\"], \"holdMs\": 500},"
                        + " \"sessions\": {\"drainS\": 2, \"opensPerUnitS\": 5" + sessionLimit() + "}}");
        startRelay("--operator", operator.toString());
        control.awaitReport("1/1");
    }

    /** Returns the number of file descriptors in the relay's configuration. */
    protected int maxDescriptors() {
        return 1024;
    }

    /** Returns a further option of the operator's file that limits the sessions; empty for none. */
    protected String sessionLimit() {
        return "";
    }

    /** Returns the address of the endpoint that the relay sends all requests to. */
    protected String listedEndpoint() throws IOException {
        return webSocketEndpoint.address();
    }

    @AfterEach
    final void stopServers() throws Exception {
        webSocketEndpoint.close();
        control.close();
    }

    /** Opens a client session on a route of the relay that permits sessions. */
    protected final WebSocketPeer open(String id) throws Exception {
        return WebSocketPeer.open(relay.port(), "/read/items/7?since=3", id, "");
    }

    /** Sends a text message and checks that the endpoint echoes it. */
    protected static void assertEchoed(WebSocketPeer client, String text) throws Exception {
        client.sendText(text);
        assertThat(client.readMessage().text()).isEqualTo(text);
    }
}
