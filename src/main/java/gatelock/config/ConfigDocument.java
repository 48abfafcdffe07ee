package gatelock.config;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * A configuration text parsed as JSON. Lines and columns are determined only for diagnostics, in a second pass over the
 * text: storing the location of every value used more memory than everything else in a large version.
 */
public final class ConfigDocument {
    /** Bound on the nesting of objects and arrays; guards against texts crafted to exhaust the stack. */
    private static final int MAX_NESTING_DEPTH = 64;
    /** Bound on the length of a number; guards against numbers crafted to take long to parse. */
    private static final int MAX_NUMBER_LENGTH = 30;

    /** Bound on the memory of the values, a part of the heap that leaves room for the version in use and for requests. */
    private static final long MAX_TREE_BYTES = Runtime.getRuntime().maxMemory() / 4;

    private static final JsonFactory JSON = JsonFactory.builder()
            .streamReadConstraints(StreamReadConstraints.builder()
                    .maxNestingDepth(MAX_NESTING_DEPTH)
                    .maxNumberLength(MAX_NUMBER_LENGTH)
                    .build())
            .build()
            .enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION);

    private final byte[] text;
    private final JsonNode root;

    private ConfigDocument(byte[] text, JsonNode root) {
        this.text = text;
        this.root = root;
    }

    /**
     * Parses a text as a single JSON object.
     *
     * @param text the text in UTF-8
     * @param diagnostics receives an error if the text is not valid
     * @return the document, or null if the text is not JSON, is not a single object, repeats a field name, or has too many
     *     values for the memory of the process
     */
    public static ConfigDocument parse(byte[] text, List<Diagnostic> diagnostics) {
        try (JsonParser parser = newParser(text)) {
            parser.nextToken();
            JsonNode root =
                    parser.currentToken() == null ? null : new JsonTreeReader(parser, MAX_TREE_BYTES).readValue();
            if (root instanceof ObjectNode && parser.nextToken() == null) {
                return new ConfigDocument(text, root);
            }
            diagnostics.add(Diagnostic.newError(
                            "G-FORM", "", "it is not one JSON object", "send one object and nothing behind it")
                    .withLocation(
                            parser.currentTokenLocation().getLineNr(),
                            parser.currentTokenLocation().getColumnNr()));
        } catch (JsonTreeReader.TreeTooLargeException e) {
            diagnostics.add(Diagnostic.newError(
                            "G-SIZE",
                            "",
                            "it has too many values: " + e.getMessage(),
                            "send fewer routes, or give the relay more memory")
                    .withLocation(e.location().getLineNr(), e.location().getColumnNr()));
        } catch (JsonProcessingException e) {
            diagnostics.add(syntaxError(e));
        } catch (IOException e) {
            diagnostics.add(
                    Diagnostic.newError("G-JSON", "", "it can't be read: " + e.getMessage(), "correct the text"));
        }
        return null;
    }

    private static JsonParser newParser(byte[] text) throws IOException {
        return JSON.createParser(new String(text, StandardCharsets.UTF_8));
    }

    private static Diagnostic syntaxError(JsonProcessingException e) {
        String firstLine = e.getOriginalMessage().lines().findFirst().orElse("");
        String message = firstLine.replaceAll(" \\(for .*", "");
        Diagnostic error =
                Diagnostic.newError("G-JSON", "", "it can't be read: " + message, "correct the text at this place");
        JsonLocation location = e.getLocation();
        return location == null ? error : error.withLocation(location.getLineNr(), location.getColumnNr());
    }

    /** Escapes a name for use as one reference token of a JSON pointer (RFC 6901, section 3). */
    static String escapePointerToken(String name) {
        return name.replace("~", "~0").replace("/", "~1");
    }

    /** Returns the text as it was received. */
    public byte[] text() {
        return text;
    }

    /** Returns the JSON object at the root of the document. */
    public JsonNode root() {
        return root;
    }

    /**
     * Returns the same diagnostics, each with the line and column of the value it points at. A diagnostic about
     * something absent from the text gets the location of its nearest ancestor that is present.
     */
    public List<Diagnostic> withLocations(List<Diagnostic> diagnostics) {
        Map<String, JsonLocation> locations = locate(diagnostics);
        List<Diagnostic> located = new ArrayList<>(diagnostics.size());
        for (Diagnostic finding : diagnostics) {
            String nearest = finding.pointer();
            while (locations.get(nearest) == null) {
                nearest = parentPointer(nearest);
            }
            JsonLocation location = locations.get(nearest);
            located.add(finding.withLocation(location.getLineNr(), location.getColumnNr()));
        }
        return List.copyOf(located);
    }

    /**
     * Returns the locations, by JSON pointer, of the values that the diagnostics point at and of their ancestors; a
     * pointer to something absent from the text maps to null.
     */
    private Map<String, JsonLocation> locate(List<Diagnostic> diagnostics) {
        Map<String, JsonLocation> locations = new HashMap<>();
        locations.put("", null);
        for (Diagnostic finding : diagnostics) {
            for (String pointer = finding.pointer(); !pointer.isEmpty(); pointer = parentPointer(pointer)) {
                locations.put(pointer, null);
            }
        }
        try (JsonParser parser = newParser(text)) {
            parser.nextToken();
            recordLocations(parser, "", locations);
        } catch (IOException e) {
            throw new IllegalStateException("a document that was parsed successfully failed to parse again", e);
        }
        return locations;
    }

    private static String parentPointer(String pointer) {
        return pointer.substring(0, pointer.lastIndexOf('/'));
    }

    /**
     * Records where the requested values begin; the keys of {@code locations} are the requested pointers. Values that
     * contain none of them are skipped.
     */
    private static void recordLocations(JsonParser parser, String pointer, Map<String, JsonLocation> locations)
            throws IOException {
        if (!locations.containsKey(pointer)) {
            parser.skipChildren();
            return;
        }
        locations.put(pointer, parser.currentTokenLocation());
        if (parser.currentToken() == JsonToken.START_OBJECT) {
            while (parser.nextToken() != JsonToken.END_OBJECT) {
                String name = parser.currentName();
                parser.nextToken();
                recordLocations(parser, pointer + "/" + escapePointerToken(name), locations);
            }
        } else if (parser.currentToken() == JsonToken.START_ARRAY) {
            for (int i = 0; parser.nextToken() != JsonToken.END_ARRAY; i++) {
                recordLocations(parser, pointer + "/" + i, locations);
            }
        }
    }
}
