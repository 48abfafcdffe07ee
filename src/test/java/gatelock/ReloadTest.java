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

/** SIGHUP: the configuration is read again and followed. */
final class ReloadTest extends RelayTestCase {
    @Test
    void onSighupDiscoveryAndControllerAreFollowedAtTheirNewAddresses() throws Exception {
        relay.launchCold();
        assertThat(discovery.awaitCall().head()).startsWith("GET /api/targets HTTP/1.1");
        HttpMessage news = controller.awaitCall();
        writeChunk(startChunkedResponse(news), "{}\n");
        String sound = relay.configText();
        for (String odd : new String[] {sound.substring(0, sound.length() / 2), "{}", "noise"}) {
            relay.writeConfig(odd);
            relay.signal("HUP");
            relay.awaitLog("what was in force stays: configuration " + relay.config());
        }
        try (FakeServer movedDiscovery = new FakeServer();
                FakeServer movedController = new FakeServer()) {
            relay.writeConfig(sound.replace(discovery.address(), movedDiscovery.address())
                    .replace(controller.address(), movedController.address()));
            relay.signal("HUP");
            assertThat(movedDiscovery.awaitCall().head()).startsWith("GET /api/targets HTTP/1.1");
            HttpMessage moved = movedController.awaitCall();
            assertThat(moved.head()).startsWith("GET /v2/projects/main/changes");
            // The old connection is kept until the first data comes on the new one.
            assertThat(controller.closedConnections()).isEmpty();
            writeChunk(startChunkedResponse(moved), "{}\n");
            assertThat(controller.closedConnections().poll(20, TimeUnit.SECONDS))
                    .isSameAs(news.socket());
            relay.signal("HUP");
            relay.process().destroy();
            assertThat(relay.process().waitFor(20, TimeUnit.SECONDS)).isTrue();
        }
        assertThat(relay.log()).doesNotContain("unexpected");
    }

    @Test
    void aSighupThatComesWhileTheConfigurationIsReadForTheFirstTimeIsNotLost() throws Exception {
        String first = relay.configText();
        try (FakeServer moved = new FakeServer()) {
            // The configuration is a pipe, so that the start of the program waits for as long as the test needs.
            Path pipe = Files.createTempDirectory("gatelock").resolve("configuration");
            Path next = pipe.resolveSibling("next");
            assertThat(new ProcessBuilder("mkfifo", pipe.toString(), next.toString())
                            .start()
                            .waitFor())
                    .isZero();
            relay.launchOn(pipe, "serve", "cold");
            try (OutputStream starts = Files.newOutputStream(pipe)) {
                relay.signal("HUP");
                // The second reading gets another pipe: on the first one it could still read what belongs to the first
                // reading.
                Files.move(next, pipe, StandardCopyOption.ATOMIC_MOVE);
                starts.write(first.getBytes(StandardCharsets.UTF_8));
            }
            BackgroundTask.start(() -> Files.writeString(pipe, first.replace(discovery.address(), moved.address())));
            assertThat(moved.awaitCall().head()).startsWith("GET /api/targets HTTP/1.1");
            Files.delete(pipe);
            Files.delete(pipe.getParent());
        }
        assertThat(relay.log()).contains("SIGHUP, discovery at").doesNotContain("unexpected");
    }
}
