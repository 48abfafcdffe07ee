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

/** Compares a list that is read in pieces with the same list parsed as one text. */
final class EndpointListReaderTest {
    private static final String ENTRY = "{\"name\":\"%s\",\"address\":\"127.0.0.1:1\",\"status\":\"in_service\"}";

    /** What a list says, or that it is malformed. */
    private record ParsedList(Boolean full, long index, List<Map<String, Object>> entries, boolean malformed) {
        static final ParsedList MALFORMED = new ParsedList(null, 0, List.of(), true);
    }

    /** Parses a list as discovery does where it is buffered. */
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

    private static ParsedList parseInPieces(byte[] text, boolean fullRequested, List<Integer> cuts) {
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
            int from = 0;
            for (int cut : cuts) {
                if (cut > from && cut < text.length) {
                    reader.read(Arrays.copyOfRange(text, from, cut));
                    from = cut;
                }
            }
            if (from < text.length) {
                reader.read(Arrays.copyOfRange(text, from, text.length));
            }
            EndpointListReader.Header header = reader.end();
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
    void aListReadsTheSameWhereverItIsCut() {
        String list = " {\"more\": {\"a\": [1, {\"endpoints\": []}]},\r\n \"index\" : 17, \"endpoints\": [ {\"name\":"
                + " \"\u00e4\\u00e4\\\"\ud83d\ude00\", \"since_ms\": 1.5e3, \"labels\": {\"x\": [null, true, \"y\"], \"y\": \"z\"}},"
                + " {} ,\n" + String.format(ENTRY, "b") + "], \"snapshot\": true, \"z\": null}\n ";
        byte[] text = bytes(list);
        ParsedList whole = parseWhole(text);
        assertThat(whole.entries).hasSize(3);
        assertThat(whole.index).isEqualTo(17);
        for (int cut = 0; cut <= text.length; cut++) {
            assertThat(parseInPieces(text, true, List.of(cut)))
                    .as("cut at " + cut)
                    .isEqualTo(whole);
        }
        List<Integer> each = new ArrayList<>();
        for (int cut = 1; cut < text.length; cut++) {
            each.add(cut);
        }
        assertThat(parseInPieces(text, false, each)).isEqualTo(whole);
    }

    @Test
    void aTruncatedListIsMalformed() {
        byte[] text = bytes("{\"snapshot\":true,\"endpoints\":[" + String.format(ENTRY, "a") + "],\"index\":5}");
        for (int length = 0; length < text.length; length++) {
            assertThat(parseInPieces(Arrays.copyOf(text, length), true, List.of(length / 2)))
                    .as("" + length)
                    .isEqualTo(ParsedList.MALFORMED);
        }
    }

    @Property(tries = 400)
    void anyListReadsTheSameInAnyPieces(
            @ForAll("lists") String list,
            @ForAll boolean fullRequested,
            @ForAll List<@IntRange(max = 600) Integer> cuts) {
        List<Integer> sorted = cuts.stream().sorted().toList();
        assertThat(parseInPieces(bytes(list), fullRequested, sorted)).as(list).isEqualTo(parseWhole(bytes(list)));
    }

    /** Lists with their fields in any order, some of them malformed in one place. */
    @Provide
    Arbitrary<String> lists() {
        Arbitrary<String> entry = Arbitraries.of(
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
        Arbitrary<String> good = Arbitraries.of(String.format(ENTRY, "a"), "{\"name\":\"b\",\"zone\":\"z\"}", "{}");
        Arbitrary<String> entries = Arbitraries.frequencyOf(Tuple.of(6, good), Tuple.of(1, entry))
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
        Arbitrary<String> more =
                Arbitraries.of("\"m\":1", "\"m\":{\"endpoints\":[],\"snapshot\":true}", "\"m\":[[[]]]");
        return Combinators.combine(
                        entries,
                        index,
                        snapshot,
                        more,
                        Arbitraries.randomValue(r -> r.nextInt()),
                        Arbitraries.of("", "", "", "", " ", "x", "{}", "]", ","))
                .as((e, i, s, m, order, tail) -> {
                    List<String> fields = new ArrayList<>(List.of(e, i, s, m));
                    Collections.shuffle(fields, new Random(order));
                    return "{" + String.join(",", fields) + "}" + tail;
                });
    }

    @Test
    void aListThatSaysItsFormBehindManyEntriesIsReadOnlyAsItWasRequested() {
        StringBuilder list = new StringBuilder("{\"endpoints\":[");
        for (int i = 0; i <= EndpointListReader.MAX_PENDING_ENTRIES; i++) {
            list.append(i == 0 ? "" : ",").append(String.format(ENTRY, "u" + i));
        }
        byte[] whole = bytes(list + "],\"snapshot\":true,\"index\":3}");
        byte[] change = bytes(list + "],\"index\":3}");
        assertThat(parseInPieces(whole, true, List.of())).isEqualTo(parseWhole(whole));
        assertThat(parseInPieces(change, false, List.of())).isEqualTo(parseWhole(change));
        assertThat(parseInPieces(whole, false, List.of())).isEqualTo(ParsedList.MALFORMED);
        assertThat(parseInPieces(change, true, List.of())).isEqualTo(ParsedList.MALFORMED);
    }

    @Test
    void whatWouldFillTheMemoryOrIsNotUtf8IsRejectedWhileItArrives() throws Exception {
        String head = "{\"index\":1,\"snapshot\":true,\"endpoints\":[";
        String pad = "p".repeat(EndpointListReader.MAX_ENTRY_BYTES / 2);
        for (String odd : new String[] {
            head + "{\"a\":\"" + pad + "\",\"b\":\"" + pad + pad,
            head + "{\"a\":\"" + pad + "\",\"b\":\"" + pad + "\"}",
            head + "{\"a\":" + "[".repeat(100),
            "[".repeat(100),
            "{\"x\":" + "[".repeat(100),
            head + "{\"" + pad + pad + pad,
            "{\"index\":" + "1".repeat(200),
            head + "],\"endpoints\":[]}",
            head + "{\"a\":\"\u00e4\"}]}"
        }) {
            byte[] text = odd.contains("\u00e4") ? odd.getBytes(StandardCharsets.ISO_8859_1) : bytes(odd);
            EndpointListReader reader = new EndpointListReader(true, new EndpointListReader.EntryConsumer() {
                @Override
                public void onBegin(boolean full) {
                    // The entries are not kept.
                }

                @Override
                public void onEntry(JsonObject entry) {
                    // The entries are not kept.
                }
            });
            assertThatThrownBy(() -> {
                        for (byte b : text) {
                            reader.read(new byte[] {b});
                        }
                    })
                    .as(odd.substring(0, Math.min(60, odd.length())))
                    .isInstanceOf(IOException.class);
        }
    }
}
