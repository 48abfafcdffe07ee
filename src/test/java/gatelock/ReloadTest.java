package gatelock;

import static gatelock.standin.RawHttp.startChunkedResponse;
import static gatelock.standin.RawHttp.writeChunk;
import static org.assertj.core.api.Assertions.assertThat;

import gatelock.standin.BackgroundTask;
import gatelock.standin.FakeServer;
import gatelock.standin.HttpMessage;
import gatelock.standin.RelayTestCase;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** On SIGHUP the relay reads its configuration again and applies it. */
final class ReloadTest extends RelayTestCase {
    @Test
    void followsMovedDiscoveryAndControllerOnSighup() throws Exception {
        relay.launchCold();
        assertThat(discovery.awaitCall().head()).startsWith("GET /api/targets HTTP/1.1");
        HttpMessage controllerCall = controller.awaitCall();
        writeChunk(startChunkedResponse(controllerCall), "{}\n");
        String validConfig = relay.configText();
        for (String invalidConfig : new String[] {validConfig.substring(0, validConfig.length() / 2), "{}", "noise"}) {
            relay.writeConfig(invalidConfig);
            relay.signal("HUP");
            relay.awaitLog("what was in force stays: configuration " + relay.config());
        }
        try (FakeServer newDiscovery = new FakeServer();
                FakeServer newController = new FakeServer()) {
            relay.writeConfig(validConfig
                    .replace(discovery.address(), newDiscovery.address())
                    .replace(controller.address(), newController.address()));
            relay.signal("HUP");
            assertThat(newDiscovery.awaitCall().head()).startsWith("GET /api/targets HTTP/1.1");
            HttpMessage newControllerCall = newController.awaitCall();
            assertThat(newControllerCall.head()).startsWith("GET /v2/projects/main/changes");
            // The old connection is kept until the first data arrives on the new one.
            assertThat(controller.closedConnections()).isEmpty();
            writeChunk(startChunkedResponse(newControllerCall), "{}\n");
            assertThat(controller.closedConnections().poll(20, TimeUnit.SECONDS))
                    .isSameAs(controllerCall.socket());
            relay.signal("HUP");
            relay.process().destroy();
            assertThat(relay.process().waitFor(20, TimeUnit.SECONDS)).isTrue();
        }
        assertThat(relay.log()).doesNotContain("unexpected");
    }

    @Test
    void handlesSighupThatArrivesDuringFirstConfigurationRead() throws Exception {
        String originalConfig = relay.configText();
        try (FakeServer newDiscovery = new FakeServer()) {
            // The configuration is a named pipe, so the first read blocks the startup until the test writes to it.
            Path pipe = Files.createTempDirectory("gatelock").resolve("configuration");
            Path nextPipe = pipe.resolveSibling("next");
            assertThat(new ProcessBuilder("mkfifo", pipe.toString(), nextPipe.toString())
                            .start()
                            .waitFor())
                    .isZero();
            relay.launchOn(pipe, "serve", "cold");
            try (OutputStream firstRead = Files.newOutputStream(pipe)) {
                relay.signal("HUP");
                // The second read gets a new pipe: from the old one it could still get data that is meant for the first
                // read.
                Files.move(nextPipe, pipe, StandardCopyOption.ATOMIC_MOVE);
                firstRead.write(originalConfig.getBytes(StandardCharsets.UTF_8));
            }
            BackgroundTask.start(
                    () -> Files.writeString(pipe, originalConfig.replace(discovery.address(), newDiscovery.address())));
            assertThat(newDiscovery.awaitCall().head()).startsWith("GET /api/targets HTTP/1.1");
            Files.delete(pipe);
            Files.delete(pipe.getParent());
        }
        assertThat(relay.log()).contains("SIGHUP, discovery at").doesNotContain("unexpected");
    }
}
