package gatelock.discovery;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import gatelock.net.JsonObject;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.Tuple;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/** Verifies that a list that is parsed incrementally has the same result as the same list parsed as one text. */
final class EndpointListReaderTest {
    private static final String ENTRY = "{\"name\":\"%s\",\"address\":\"127.0.0.1:1\",\"status\":\"in_service\"}";

    /** The content of a list, or {@link #MALFORMED}. */
    private record ParsedList(Boolean full, long index, List<Map<String, Object>> entries, boolean malformed) {
        static final ParsedList MALFORMED = new ParsedList(null, 0, List.of(), true);
    }

    /** Parses a list in the way discovery does when it is buffered. */
    private static ParsedList parseWhole(byte[] text) {
        try {
            JsonObject list = JsonObject.parse(text);
            List<Map<String, Object>> entries = new ArrayList<>();
            for (JsonObject entry : list.objects("endpoints")) {
                entries.add(entry.fields());
            }
            return new ParsedList(list.isTrue("snapshot"), list.nonNegativeLong("index"), entries, false);
        } catch (IOException e) {
            return ParsedList.MALFORMED;
        }
    }

    private static ParsedList parseSplit(byte[] text, boolean fullRequested, List<Integer> splitOffsets) {
        List<Map<String, Object>> entries = new ArrayList<>();
        List<Boolean> begun = new ArrayList<>();
        try {
            EndpointListReader reader = new EndpointListReader(fullRequested, new EndpointListReader.EntryConsumer() {
                @Override
                public void onBegin(boolean full) {
                    assertThat(entries).isEmpty();
                    begun.add(full);
                }

                @Override
                public void onEntry(JsonObject entry) {
                    assertThat(begun).hasSize(1);
                    entries.add(entry.fields());
                }
            });
            int start = 0;
            for (int offset : splitOffsets) {
                if (offset > start && offset < text.length) {
                    reader.read(Arrays.copyOfRange(text, start, offset));
                    start = offset;
                }
            }
            if (start < text.length) {
                reader.read(Arrays.copyOfRange(text, start, text.length));
            }
            EndpointListReader.ListHeader header = reader.end();
            assertThat(begun).containsExactly(header.full());
            return new ParsedList(header.full(), header.index(), entries, false);
        } catch (IOException e) {
            return ParsedList.MALFORMED;
        }
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    @Test
    void parsesIdenticallyForEverySplitOffset() {
        String list = " {\"more\": {\"a\": [1, {\"endpoints\": []}]},\r\n \"index\" : 17, \"endpoints\": [ {\"name\":"
                + " \"\u00e4\\u00e4\\\"\ud83d\ude00\", \"since_ms\": 1.5e3, \"labels\": {\"x\": [null, true, \"y\"], \"y\": \"z\"}},"
                + " {} ,\n" + String.format(ENTRY, "b") + "], \"snapshot\": true, \"z\": null}\n ";
        byte[] text = bytes(list);
        ParsedList whole = parseWhole(text);
        assertThat(whole.entries).hasSize(3);
        assertThat(whole.index).isEqualTo(17);
        for (int offset = 0; offset <= text.length; offset++) {
            assertThat(parseSplit(text, true, List.of(offset)))
                    .as("split at offset " + offset)
                    .isEqualTo(whole);
        }
        List<Integer> allOffsets = new ArrayList<>();
        for (int offset = 1; offset < text.length; offset++) {
            allOffsets.add(offset);
        }
        assertThat(parseSplit(text, false, allOffsets)).isEqualTo(whole);
    }

    @Test
    void rejectsListTruncatedAtAnyOffset() {
        byte[] text = bytes("{\"snapshot\":true,\"endpoints\":[" + String.format(ENTRY, "a") + "],\"index\":5}");
        for (int length = 0; length < text.length; length++) {
            assertThat(parseSplit(Arrays.copyOf(text, length), true, List.of(length / 2)))
                    .as("" + length)
                    .isEqualTo(ParsedList.MALFORMED);
        }
    }

    @Property(tries = 400)
    void parsesIdenticallyForArbitraryListsAndSplits(
            @ForAll("lists") String list,
            @ForAll boolean fullRequested,
            @ForAll List<@IntRange(max = 600) Integer> splitOffsets) {
        List<Integer> sorted = splitOffsets.stream().sorted().toList();
        assertThat(parseSplit(bytes(list), fullRequested, sorted)).as(list).isEqualTo(parseWhole(bytes(list)));
    }

    /** Lists with their fields in any order, some of them malformed in one place. */
    @Provide
    Arbitrary<String> lists() {
        Arbitrary<String> anyEntry = Arbitraries.of(
                        String.format(ENTRY, "a"),
                        String.format(ENTRY, "\\u00e9\u00e9"),
                        "{}",
                        "{\"labels\":{\"s\":\"x\"},\"n\":[1,2,[3]]}",
                        " {\"name\": null, \"since_ms\": -1.25}",
                        "7",
                        "null",
                        "[]",
                        "{\"a\":1,\"a\":2}",
                        "{\"a\":null,\"b\":{\"c\":{},\"c\":1}}")
                .edgeCases(c -> c.none());
        Arbitrary<String> validEntry =
                Arbitraries.of(String.format(ENTRY, "a"), "{\"name\":\"b\",\"zone\":\"z\"}", "{}");
        Arbitrary<String> entries = Arbitraries.frequencyOf(Tuple.of(6, validEntry), Tuple.of(1, anyEntry))
                .list()
                .ofMaxSize(6)
                .map(all -> "\"endpoints\":[" + String.join(" ,\n", all) + "]");
        Arbitrary<String> index = Arbitraries.of(
                "\"index\":5",
                "\"index\":0",
                "\"index\":7",
                "\"index\":-1",
                "\"index\":\"5\"",
                "\"index\":{}",
                "\"x\":1",
                "\"index\": 12.0");
        Arbitrary<String> snapshot = Arbitraries.of(
                "\"snapshot\":true",
                "\"snapshot\":false",
                "\"snapshot\":null",
                "\"y\":[{\"index\":3}]",
                "\"snapshot\":[true]");
        Arbitrary<String> extraField =
                Arbitraries.of("\"m\":1", "\"m\":{\"endpoints\":[],\"snapshot\":true}", "\"m\":[[[]]]");
        return Combinators.combine(
                        entries,
                        index,
                        snapshot,
                        extraField,
                        Arbitraries.randomValue(r -> r.nextInt()),
                        Arbitraries.of("", "", "", "", " ", "x", "{}", "]", ","))
                .as((e, i, s, m, order, tail) -> {
                    List<String> fields = new ArrayList<>(List.of(e, i, s, m));
                    Collections.shuffle(fields, new Random(order));
                    return "{" + String.join(",", fields) + "}" + tail;
                });
    }

    @Test
    void acceptsTypeDeclaredAfterManyEntriesOnlyIfItMatchesTheRequest() {
        StringBuilder list = new StringBuilder("{\"endpoints\":[");
        for (int i = 0; i <= EndpointListReader.MAX_PENDING_ENTRIES; i++) {
            list.append(i == 0 ? "" : ",").append(String.format(ENTRY, "u" + i));
        }
        byte[] whole = bytes(list + "],\"snapshot\":true,\"index\":3}");
        byte[] change = bytes(list + "],\"index\":3}");
        assertThat(parseSplit(whole, true, List.of())).isEqualTo(parseWhole(whole));
        assertThat(parseSplit(change, false, List.of())).isEqualTo(parseWhole(change));
        assertThat(parseSplit(whole, false, List.of())).isEqualTo(ParsedList.MALFORMED);
        assertThat(parseSplit(change, true, List.of())).isEqualTo(ParsedList.MALFORMED);
    }

    @Test
    void rejectsInputOverItsLimitsOrNotUtf8WhileReading() throws Exception {
        String listStart = "{\"index\":1,\"snapshot\":true,\"endpoints\":[";
        String padding = "p".repeat(EndpointListReader.MAX_ENTRY_BYTES / 2);
        for (String malformed : new String[] {
            listStart + "{\"a\":\"" + padding + "\",\"b\":\"" + padding + padding,
            listStart + "{\"a\":\"" + padding + "\",\"b\":\"" + padding + "\"}",
            listStart + "{\"a\":" + "[".repeat(100),
            "[".repeat(100),
            "{\"x\":" + "[".repeat(100),
            listStart + "{\"" + padding + padding + padding,
            "{\"index\":" + "1".repeat(200),
            listStart + "],\"endpoints\":[]}",
            listStart + "{\"a\":\"\u00e4\"}]}"
        }) {
            byte[] text =
                    malformed.contains("\u00e4") ? malformed.getBytes(StandardCharsets.ISO_8859_1) : bytes(malformed);
            EndpointListReader reader = new EndpointListReader(true, new EndpointListReader.EntryConsumer() {
                @Override
                public void onBegin(boolean full) {
                    // The content is not checked.
                }

                @Override
                public void onEntry(JsonObject entry) {
                    // The content is not checked.
                }
            });
            assertThatThrownBy(() -> {
                        for (byte b : text) {
                            reader.read(new byte[] {b});
                        }
                    })
                    .as(malformed.substring(0, Math.min(60, malformed.length())))
                    .isInstanceOf(IOException.class);
        }
    }
}
