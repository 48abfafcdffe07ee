package gatelock.standin;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.jr.ob.JSON;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Tests the list that relays receive, in full and as changes, and the record of which relay has which index. */
class LongListDiscoveryTest {
    private static String entry(int number, String status) {
        return LongListDiscovery.entry(number, "10.31.207.118:8443", "east", "svc-7142", status, 1_764_000_000_000L, 1);
    }

    private static Map<String, Object> get(String address, String query) throws Exception {
        HttpResponse<String> answer = HttpClient.newHttpClient()
                .send(
                        HttpRequest.newBuilder(URI.create("http://" + address + "/api/targets" + query))
                                .build(),
                        HttpResponse.BodyHandlers.ofString());
        assertThat(answer.headers().firstValueAsLong("Content-Length"))
                .hasValue(answer.body().length());
        return JSON.std.mapFrom(answer.body());
    }

    private static List<Object> fields(Map<String, Object> list, String field) {
        return ((List<?>) list.get("endpoints"))
                .stream().<Object>map(e -> ((Map<?, ?>) e).get(field)).toList();
    }

    @Test
    void writesEntryOf180To200Bytes() {
        assertThat(entry(199_999, "in_service").length()).isBetween(180, 200);
    }

    @Test
    void servesInitialListWithChangesAppliedAsSnapshot() throws Exception {
        try (LongListDiscovery list = new LongListDiscovery(1_000, i -> entry(i, "in_service"))) {
            String address = list.address("r");
            assertThat(fields(get(address, ""), "name")).hasSize(1_000).doesNotHaveDuplicates();
            list.replace(3, entry(3, "terminating"));
            list.remove(999, entry(999, "terminated"));
            list.replace(1_000, entry(1_000, "in_service"));
            Map<String, Object> whole = get(address, "");
            assertThat(whole).containsEntry("index", 4).containsEntry("snapshot", true);
            assertThat(fields(whole, "name"))
                    .hasSize(1_000)
                    .contains(LongListDiscovery.name(1_000))
                    .doesNotContain(LongListDiscovery.name(999));
            assertThat(fields(whole, "status").get(3)).isEqualTo("terminating");
        }
    }

    @Test
    void answersWatchWithChangesOrEmptyDeltaAfterHold() throws Exception {
        try (LongListDiscovery list = new LongListDiscovery(10, i -> entry(i, "in_service"))) {
            String address = list.address("r");
            assertThat(fields(get(address, "?from=1&hold_ms=1"), "name")).isEmpty();
            list.replace(3, entry(3, "terminating"));
            list.remove(9, entry(9, "terminated"));
            Map<String, Object> changes = get(address, "?from=1&hold_ms=60000");
            assertThat(changes).containsEntry("index", 3).containsEntry("snapshot", false);
            assertThat(fields(changes, "status")).containsExactly("terminating", "terminated");
            assertThat(get(address, "?from=77&hold_ms=60000")).containsEntry("snapshot", true);
        }
    }

    @Test
    void recordsIndexThatEachRelayWatchesFrom() throws Exception {
        try (LongListDiscovery list = new LongListDiscovery(10, i -> entry(i, "in_service"))) {
            String one = list.address("one");
            String other = list.address("other");
            long index = list.replace(3, entry(3, "terminating"));
            get(one, "?from=1&hold_ms=0");
            assertThat(list.awaitWatches(index, 1, 0)).isEmpty();
            get(other, "?from=" + index + "&hold_ms=0");
            assertThat(list.awaitWatches(index, 1, 60_000)).containsOnlyKeys("other");
            assertThat(list.watchCalls()).isEqualTo(2);
            assertThat(list.bytesOut()).isPositive();
        }
    }
}
