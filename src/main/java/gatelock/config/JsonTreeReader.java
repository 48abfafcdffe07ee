package gatelock.config;

import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.HashSet;
import java.util.Set;

/**
 * Reads JSON values into a tree, and stops before the tree takes more memory than is allowed. A text of many small values
 * takes thirty times its own length, so the length of a text alone does not bound it.
 */
final class JsonTreeReader {
    /** The text has too many values. */
    static final class TreeTooLargeException extends IOException {
        private static final long serialVersionUID = 1L;

        private final transient JsonLocation location;

        TreeTooLargeException(long maxBytes, JsonLocation location) {
            super("its values need more than " + maxBytes + " bytes of memory");
            this.location = location;
        }

        /** Returns the place of the first value that is too many. */
        JsonLocation location() {
            return location;
        }
    }

    /** The memory of an object or an array with its collection. */
    private static final int CONTAINER_BYTES = 160;
    /** The memory of a number, or of a text without its characters. */
    private static final int VALUE_BYTES = 64;
    /** The memory of the entry of a field. */
    private static final int FIELD_BYTES = 40;
    /** The memory of a name of fields, without its characters; all fields of a name share it. */
    private static final int NAME_BYTES = 80;

    private final JsonParser parser;
    private final long maxBytes;
    private final Set<String> names = new HashSet<>();
    private long bytes;

    /**
     * Creates a reader.
     *
     * @param parser supplies the tokens
     * @param maxBytes how much memory the tree may take, in bytes
     */
    JsonTreeReader(JsonParser parser, long maxBytes) {
        this.parser = parser;
        this.maxBytes = maxBytes;
    }

    /**
     * Reads the value that begins with the current token.
     *
     * @throws TreeTooLargeException if the values that were read would take too much memory
     */
    JsonNode readValue() throws IOException {
        JsonNodeFactory nodes = JsonNodeFactory.instance;
        return switch (parser.currentToken()) {
            case START_OBJECT -> readObject();
            case START_ARRAY -> readArray();
            case VALUE_STRING -> {
                count(VALUE_BYTES + parser.getTextLength());
                yield nodes.textNode(parser.getText());
            }
            case VALUE_NUMBER_INT -> {
                count(VALUE_BYTES);
                yield nodes.numberNode(parser.getDecimalValue().toBigInteger());
            }
            case VALUE_NUMBER_FLOAT -> {
                count(VALUE_BYTES);
                yield nodes.numberNode(parser.getDecimalValue());
            }
            case VALUE_TRUE, VALUE_FALSE -> nodes.booleanNode(parser.getBooleanValue());
            default -> nodes.nullNode();
        };
    }

    private ObjectNode readObject() throws IOException {
        count(CONTAINER_BYTES);
        ObjectNode object = JsonNodeFactory.instance.objectNode();
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            String name = parser.currentName();
            count(FIELD_BYTES + (names.add(name) ? NAME_BYTES + name.length() : 0));
            parser.nextToken();
            object.set(name, readValue());
        }
        return object;
    }

    private ArrayNode readArray() throws IOException {
        count(CONTAINER_BYTES);
        ArrayNode array = JsonNodeFactory.instance.arrayNode();
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            count(Long.BYTES);
            array.add(readValue());
        }
        return array;
    }

    private void count(long addedBytes) throws TreeTooLargeException {
        bytes += addedBytes;
        if (bytes > maxBytes) {
            throw new TreeTooLargeException(maxBytes, parser.currentTokenLocation());
        }
    }
}
