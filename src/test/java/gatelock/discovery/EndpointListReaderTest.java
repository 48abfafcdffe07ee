package gatelock.discovery;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import gatelock.net.JsonObject;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;

/** A list in pieces against the same list as one text. */
final class EndpointListReaderTest {
    private static final String ENTRY = "{\"name\":\"%s\",\"address\":\"127.0.0.1:1\",\"status\":\"in_service\"}";

    /** What a list says; the reason where it can't be taken. */
    private record Said(Boolean whole, long index, List<Map<String, Object>> entries, boolean bad) {
        static final Said BAD = new Said(null, 0, List.of(), true);
    }

    /** As discovery reads a list that came whole. */
    private static Said atOnce(byte[] text) {
        try {
            JsonObject list = JsonObject.read(text);
            List<Map<String, Object>> entries = new ArrayList<>();
            for (JsonObject e : list.objects("endpoints")) {
                entries.add(e.fields());
            }
            return new Said(list.yes("snapshot"), list.whole("index"), entries, false);
        } catch (IOException e) {
            return Said.BAD;
        }
    }

    private static Said inPieces(byte[] text, boolean wholeAsked, List<Integer> cuts) {
        List<Map<String, Object>> entries = new ArrayList<>();
        List<Boolean> begun = new ArrayList<>();
        try {
            EndpointListReader reader = new EndpointListReader(wholeAsked, new EndpointListReader.EntryConsumer() {
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
            return new Said(header.full(), header.index(), entries, false);
        } catch (IOException e) {
            return Said.BAD;
        }
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    @Test
    void cutAtEveryByteAListSaysTheSame() {
        String list = " {\"more\": {\"a\": [1, {\"endpoints\": []}]},\r\n \"index\" : 17, \"endpoints\": [ {\"name\":"
                + " \"\u00e4\\u00e4\\\"\ud83d\ude00\", \"since_ms\": 1.5e3, \"labels\": {\"x\": [null, true, \"y\"], \"y\": \"z\"}},"
                + " {} ,\n" + String.format(ENTRY, "b") + "], \"snapshot\": true, \"z\": null}\n ";
        byte[] text = bytes(list);
        Said whole = atOnce(text);
        assertThat(whole.entries).hasSize(3);
        assertThat(whole.index).isEqualTo(17);
        for (int cut = 0; cut <= text.length; cut++) {
            assertThat(inPieces(text, true, List.of(cut))).as("cut at " + cut).isEqualTo(whole);
        }
        List<Integer> each = new ArrayList<>();
        for (int cut = 1; cut < text.length; cut++) {
            each.add(cut);
        }
        assertThat(inPieces(text, false, each)).isEqualTo(whole);
    }

    @Test
    void whatIsCutShortAnywhereIsNoList() {
        byte[] text = bytes("{\"snapshot\":true,\"endpoints\":[" + String.format(ENTRY, "a") + "],\"index\":5}");
        for (int length = 0; length < text.length; length++) {
            assertThat(inPieces(Arrays.copyOf(text, length), true, List.of(length / 2)))
                    .as("" + length)
                    .isEqualTo(Said.BAD);
        }
    }

    @Property(tries = 400)
    void ofAnyListInAnyPiecesTheSameIsRead(
            @ForAll("lists") String list,
            @ForAll boolean wholeAsked,
            @ForAll List<@net.jqwik.api.constraints.IntRange(max = 600) Integer> cuts) {
        List<Integer> sorted = cuts.stream().sorted().toList();
        assertThat(inPieces(bytes(list), wholeAsked, sorted)).as(list).isEqualTo(atOnce(bytes(list)));
    }

    /** Lists with their fields in any order, some spoilt in one place. */
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
        Arbitrary<String> entries = Arbitraries.frequencyOf(
                        net.jqwik.api.Tuple.of(6, good), net.jqwik.api.Tuple.of(1, entry))
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
                    java.util.Collections.shuffle(fields, new java.util.Random(order));
                    return "{" + String.join(",", fields) + "}" + tail;
                });
    }

    @Test
    void whatIsToldOnlyBehindManyEntriesIsTakenAsItWasAskedFor() {
        StringBuilder list = new StringBuilder("{\"endpoints\":[");
        for (int i = 0; i <= EndpointListReader.MAX_PENDING_ENTRIES; i++) {
            list.append(i == 0 ? "" : ",").append(String.format(ENTRY, "u" + i));
        }
        byte[] whole = bytes(list + "],\"snapshot\":true,\"index\":3}");
        byte[] change = bytes(list + "],\"index\":3}");
        assertThat(inPieces(whole, true, List.of())).isEqualTo(atOnce(whole));
        assertThat(inPieces(change, false, List.of())).isEqualTo(atOnce(change));
        assertThat(inPieces(whole, false, List.of())).isEqualTo(Said.BAD);
        assertThat(inPieces(change, true, List.of())).isEqualTo(Said.BAD);
    }

    @Test
    void whatWouldFillTheMemoryOrIsNoTextIsRefusedWhileItComes() throws Exception {
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
                    // nothing is kept
                }

                @Override
                public void onEntry(JsonObject entry) {
                    // nothing is kept
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
