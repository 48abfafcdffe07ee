package gatelock.config;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * A text read as JSON. Where a value stands in the text is looked up only for findings, in one more pass: to
 * keep all
 * places took more memory than all else of a large version.
 */
public final class ConfigDocument {
    private static final int DEEPEST = 64;
    private static final JsonFactory JSON = JsonFactory.builder()
            .streamReadConstraints(StreamReadConstraints.builder()
                    .maxNestingDepth(DEEPEST)
                    .maxNumberLength(30)
                    .build())
            .build()
            .enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION);

    private final byte[] text;
    private final JsonNode root;

    private ConfigDocument(byte[] text, JsonNode root) {
        this.text = text;
        this.root = root;
    }

    /** Reads a text; adds a finding and gives null where it is no JSON, or says something twice. */
    public static ConfigDocument read(byte[] text, List<Diagnostic> findings) {
        try (JsonParser parser = JSON.createParser(new String(text, StandardCharsets.UTF_8))) {
            parser.nextToken();
            JsonNode root = parser.currentToken() == null ? null : value(parser);
            if (root instanceof ObjectNode && parser.nextToken() == null) {
                return new ConfigDocument(text, root);
            }
            JsonLocation at = parser.currentTokenLocation();
            findings.add(new Diagnostic(
                    "G-FORM",
                    true,
                    "",
                    at.getLineNr(),
                    at.getColumnNr(),
                    "it is not one JSON object",
                    "send one object and nothing behind it"));
        } catch (JsonProcessingException e) {
            JsonLocation at = e.getLocation();
            findings.add(new Diagnostic(
                    "G-JSON",
                    true,
                    "",
                    at == null ? 0 : at.getLineNr(),
                    at == null ? 0 : at.getColumnNr(),
                    "it can't be read: "
                            + e.getOriginalMessage()
                                    .lines()
                                    .findFirst()
                                    .orElse("")
                                    .replaceAll(" \\(for .*", ""),
                    "mend the text there"));
        } catch (IOException e) {
            findings.add(
                    new Diagnostic("G-JSON", true, "", 0, 0, "it can't be read: " + e.getMessage(), "mend the text"));
        }
        return null;
    }

    private static JsonNode value(JsonParser parser) throws IOException {
        switch (parser.currentToken()) {
            case START_OBJECT -> {
                ObjectNode object = JsonNodeFactory.instance.objectNode();
                while (parser.nextToken() != JsonToken.END_OBJECT) {
                    String name = parser.currentName();
                    parser.nextToken();
                    object.set(name, value(parser));
                }
                return object;
            }
            case START_ARRAY -> {
                ArrayNode array = JsonNodeFactory.instance.arrayNode();
                while (parser.nextToken() != JsonToken.END_ARRAY) {
                    array.add(value(parser));
                }
                return array;
            }
            case VALUE_STRING -> {
                return JsonNodeFactory.instance.textNode(parser.getText());
            }
            case VALUE_NUMBER_INT -> {
                return JsonNodeFactory.instance.numberNode(
                        parser.getDecimalValue().toBigInteger());
            }
            case VALUE_NUMBER_FLOAT -> {
                return JsonNodeFactory.instance.numberNode(parser.getDecimalValue());
            }
            case VALUE_TRUE, VALUE_FALSE -> {
                return JsonNodeFactory.instance.booleanNode(parser.getBooleanValue());
            }
            default -> {
                return JsonNodeFactory.instance.nullNode();
            }
        }
    }

    /** A name as one step of a JSON pointer. */
    static String escaped(String name) {
        return name.replace("~", "~0").replace("/", "~1");
    }

    public byte[] text() {
        return text;
    }

    public JsonNode root() {
        return root;
    }

    static Diagnostic grave(String code, String pointer, String wrong, String mend) {
        return new Diagnostic(code, true, pointer, 0, 0, wrong, mend);
    }

    static Diagnostic warning(String code, String pointer, String wrong, String mend) {
        return new Diagnostic(code, false, pointer, 0, 0, wrong, mend);
    }

    /**
     * The same findings with the line and column of each, or of the nearest place above it that stands in the
     * text.
     */
    public List<Diagnostic> placed(List<Diagnostic> findings) {
        Map<String, int[]> wanted = new HashMap<>();
        for (Diagnostic f : findings) {
            for (String p = f.pointer(); !p.isEmpty(); p = p.substring(0, p.lastIndexOf('/'))) {
                wanted.put(p, null);
            }
        }
        wanted.put("", null);
        try (JsonParser parser = JSON.createParser(new String(text, StandardCharsets.UTF_8))) {
            parser.nextToken();
            look(parser, "", wanted);
        } catch (IOException e) {
            throw new IllegalStateException("it could be read before", e);
        }
        return findings.stream()
                .map(f -> {
                    String near = f.pointer();
                    while (wanted.get(near) == null) {
                        near = near.substring(0, near.lastIndexOf('/'));
                    }
                    int[] at = wanted.get(near);
                    return new Diagnostic(f.code(), f.grave(), f.pointer(), at[0], at[1], f.wrong(), f.mend());
                })
                .toList();
    }

    /** Notes where wanted values stand; whatever holds none of them is passed over. */
    private static void look(JsonParser parser, String pointer, Map<String, int[]> wanted) throws IOException {
        if (!wanted.containsKey(pointer)) {
            parser.skipChildren();
            return;
        }
        JsonLocation at = parser.currentTokenLocation();
        wanted.put(pointer, new int[] {at.getLineNr(), at.getColumnNr()});
        if (parser.currentToken() == JsonToken.START_OBJECT) {
            while (parser.nextToken() != JsonToken.END_OBJECT) {
                String name = parser.currentName();
                parser.nextToken();
                look(parser, pointer + "/" + escaped(name), wanted);
            }
        } else if (parser.currentToken() == JsonToken.START_ARRAY) {
            for (int i = 0; parser.nextToken() != JsonToken.END_ARRAY; i++) {
                look(parser, pointer + "/" + i, wanted);
            }
        }
    }
}
