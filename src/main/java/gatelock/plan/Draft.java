package gatelock.plan;

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

/** A text read as JSON, with the place in the text at which each value stands. */
public final class Draft {
    private static final int DEEPEST = 64;
    private static final JsonFactory JSON = JsonFactory.builder().streamReadConstraints(StreamReadConstraints.builder()
        .maxNestingDepth(DEEPEST).maxNumberLength(30).build()).build()
        .enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION);

    private final byte[] text;
    private final JsonNode root;
    private final Map<String, int[]> places;

    private Draft(byte[] text, JsonNode root, Map<String, int[]> places) {
        this.text = text;
        this.root = root;
        this.places = places;
    }

    /** Reads a text; adds a finding and gives null where it is no JSON, or says something twice. */
    public static Draft read(byte[] text, List<Finding> findings) {
        Map<String, int[]> places = new HashMap<>();
        try (JsonParser parser = JSON.createParser(new String(text, StandardCharsets.UTF_8))) {
            parser.nextToken();
            JsonNode root = parser.currentToken() == null ? null : value(parser, "", places);
            if (root instanceof ObjectNode && parser.nextToken() == null) {
                return new Draft(text, root, places);
            }
            JsonLocation at = parser.currentTokenLocation();
            findings.add(new Finding("G-FORM", true, "", at.getLineNr(), at.getColumnNr(),
                "it is not one JSON object", "send one object and nothing behind it"));
        } catch (JsonProcessingException e) {
            JsonLocation at = e.getLocation();
            findings.add(new Finding("G-JSON", true, "", at == null ? 0 : at.getLineNr(),
                at == null ? 0 : at.getColumnNr(), "it can't be read: " + e.getOriginalMessage().lines().findFirst()
                .orElse("").replaceAll(" \\(for .*", ""), "mend the text there"));
        } catch (IOException e) {
            findings.add(new Finding("G-JSON", true, "", 0, 0, "it can't be read: " + e.getMessage(), "mend the text"));
        }
        return null;
    }

    private static JsonNode value(JsonParser parser, String pointer, Map<String, int[]> places) throws IOException {
        JsonLocation at = parser.currentTokenLocation();
        places.put(pointer, new int[] {at.getLineNr(), at.getColumnNr()});
        switch (parser.currentToken()) {
            case START_OBJECT -> {
                ObjectNode object = JsonNodeFactory.instance.objectNode();
                while (parser.nextToken() != JsonToken.END_OBJECT) {
                    String name = parser.currentName();
                    parser.nextToken();
                    object.set(name, value(parser, pointer + "/" + escaped(name), places));
                }
                return object;
            }
            case START_ARRAY -> {
                ArrayNode array = JsonNodeFactory.instance.arrayNode();
                while (parser.nextToken() != JsonToken.END_ARRAY) {
                    array.add(value(parser, pointer + "/" + array.size(), places));
                }
                return array;
            }
            case VALUE_STRING -> {
                return JsonNodeFactory.instance.textNode(parser.getText());
            }
            case VALUE_NUMBER_INT -> {
                return JsonNodeFactory.instance.numberNode(parser.getDecimalValue().toBigInteger());
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

    /** A grave finding at a place, or at the nearest place above it that stands in the text. */
    Finding grave(String code, String pointer, String wrong, String mend) {
        return finding(code, true, pointer, wrong, mend);
    }

    Finding warning(String code, String pointer, String wrong, String mend) {
        return finding(code, false, pointer, wrong, mend);
    }

    private Finding finding(String code, boolean grave, String pointer, String wrong, String mend) {
        String near = pointer;
        while (!places.containsKey(near) && !near.isEmpty()) {
            near = near.substring(0, near.lastIndexOf('/'));
        }
        int[] at = places.getOrDefault(near, new int[2]);
        return new Finding(code, grave, pointer, at[0], at[1], wrong, mend);
    }
}
