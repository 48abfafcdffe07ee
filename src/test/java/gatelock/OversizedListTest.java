package gatelock;

import static gatelock.standin.EndpointListJson.listOnly;
import static gatelock.standin.RawHttp.startChunkedResponse;
import static gatelock.standin.RawHttp.writeChunk;
import static org.assertj.core.api.Assertions.assertThat;

import gatelock.standin.BackgroundTask;
import gatelock.standin.HttpMessage;
import gatelock.standin.RawHttp;
import gatelock.standin.RelayTestCase;
import java.io.OutputStream;
import org.junit.jupiter.api.Test;

/** Endpoint lists over the size limit: what the relay logs and counts, and which endpoints it uses. */
final class OversizedListTest extends RelayTestCase {
    private static final int OVERSIZED_BYTES = 3_000_000;

    /** Sends the head and the first bytes of a response whose declared length is over the limit. */
    private static void beginOversizedList(HttpMessage call) throws Exception {
        RawHttp.write(call.socket(), "HTTP/1.1 200 OK\r\nContent-Length: " + OVERSIZED_BYTES + "\r\n\r\n{\"index\":1");
    }

    @Test
    void logsOversizedFirstListAndServesConfiguredEndpoints() throws Exception {
        relay.launchCold();
        BackgroundTask.start(() -> {
            while (true) {
                beginOversizedList(discovery.awaitCall());
            }
        });
        relay.awaitLog("discovery's list is too long: body of 3000000 bytes is longer than 2097152, last good list "
                + "kept; name a scope (membership) in the operator's file, or have fewer endpoints listed");
        relay.awaitLog("discovery's list is too long, serving the configured endpoints");
        relay.awaitLog("serves on");
        assertServedBy(endpoint, "start");
        assertStopsCleanly();
        assertThat(relay.log())
                .doesNotContain("silent")
                .containsPattern("lists too long=[1-9]")
                .doesNotContain("discovery failed");
        assertThat(relay.log().split("is longer than", -1))
                .as("the log reports the oversized list once")
                .hasSize(2);
    }

    @Test
    void rejectsChunkedListOnceItExceedsLimit() throws Exception {
        relay.launchCold();
        HttpMessage listCall = discovery.awaitCall();
        OutputStream out = startChunkedResponse(listCall);
        BackgroundTask.start(() -> {
            while (true) {
                writeChunk(out, " ".repeat(60_000));
            }
        });
        relay.awaitLog("discovery's list is too long: body of at least 2");
        listOnly(discovery.awaitCall(), 5, otherEndpoint);
        assertThat(discovery.awaitCall().head()).startsWith("GET /api/targets?from=5&");
        assertServedBy(otherEndpoint, "shorter");
        assertStopsCleanly();
        assertThat(relay.log()).doesNotContain("silent").contains("lists too long=1");
    }

    @Test
    void keepsListAndRequestsFullListWhenChangeIsOversized() throws Exception {
        relay.launchCold();
        listOnly(discovery.awaitCall(), 5, otherEndpoint);
        HttpMessage watch = discovery.awaitCall();
        assertThat(watch.head()).startsWith("GET /api/targets?from=5&");
        beginOversizedList(watch);
        HttpMessage listCall = discovery.awaitCall();
        assertThat(listCall.head()).startsWith("GET /api/targets HTTP/1.1");
        assertServedBy(otherEndpoint, "stays");
        beginOversizedList(listCall);
        HttpMessage nextListCall = discovery.awaitCall();
        assertServedBy(otherEndpoint, "stays longer");
        listOnly(nextListCall, 9, endpoint);
        assertThat(discovery.awaitCall().head()).startsWith("GET /api/targets?from=9&");
        assertServedBy(endpoint, "replaced");
        assertStopsCleanly();
        assertThat(relay.log()).contains("lists too long=2").doesNotContain("silent");
        assertThat(relay.log().split("is longer than", -1))
                .as("the log reports the oversized list once")
                .hasSize(2);
    }
}
