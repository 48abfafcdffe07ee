package gatelock.discovery;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import gatelock.net.MalformedMessageException;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Builds one JSON object from the tokens of a streaming parser. Its values are maps, lists and scalars. */
final class JsonTreeBuilder {
    private final JsonParser parser;
    private final Map<String, Object> root = new LinkedHashMap<>();
    /** The objects and arrays that are not complete yet, innermost first. */
    private final Deque<Container> openContainers = new ArrayDeque<>();

    /** An object or an array that is not complete yet. */
    private interface Container {
        void add(Object value) throws IOException;
    }

    /** An array that is not complete yet. */
    private record OpenArray(List<Object> values) implements Container {
        @Override
        public void add(Object value) {
            values.add(value);
        }
    }

    /** An object that is not complete yet, with the name of its current field. */
    private static final class OpenObject implements Container {
        private final Map<String, Object> fields;
        private String fieldName;

        OpenObject(Map<String, Object> fields) {
            this.fields = fields;
        }

        @Override
        public void add(Object value) throws IOException {
            if (fields.containsKey(fieldName)) {
                throw new MalformedMessageException("duplicate field " + fieldName);
            }
            fields.put(fieldName, value);
        }
    }

    /** Begins an object whose opening brace is the token that the parser has just read. */
    JsonTreeBuilder(JsonParser parser) {
        this.parser = parser;
        openContainers.push(new OpenObject(root));
    }

    /**
     * Adds the parser's current token.
     *
     * @return whether the object is complete with this token
     * @throws IOException if an object contains the same field twice
     */
    boolean add(JsonToken token) throws IOException {
        if (token == JsonToken.FIELD_NAME) {
            ((OpenObject) openContainers.element()).fieldName = parser.currentName();
        } else if (token == JsonToken.START_OBJECT) {
            Map<String, Object> fields = new LinkedHashMap<>();
            openContainers.element().add(fields);
            openContainers.push(new OpenObject(fields));
        } else if (token == JsonToken.START_ARRAY) {
            List<Object> values = new ArrayList<>();
            openContainers.element().add(values);
            openContainers.push(new OpenArray(values));
        } else if (token.isStructEnd()) {
            openContainers.pop();
        } else {
            openContainers.element().add(scalarValue(parser, token));
        }
        return openContainers.isEmpty();
    }

    /** Returns the object, which is complete once {@link #add} has returned true. */
    Map<String, Object> root() {
        return root;
    }

    /** Returns the value of a token that is a string, a number, a boolean or null. */
    static Object scalarValue(JsonParser parser, JsonToken token) throws IOException {
        return switch (token) {
            case VALUE_STRING -> parser.getText();
            case VALUE_NUMBER_INT, VALUE_NUMBER_FLOAT -> parser.getNumberValue();
            case VALUE_TRUE -> true;
            case VALUE_FALSE -> false;
            default -> null;
        };
    }
}
