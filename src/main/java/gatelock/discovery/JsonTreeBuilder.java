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

/** Builds one JSON object from the tokens of a streaming parser, with maps, lists and scalars as its values. */
final class JsonTreeBuilder {
    private final JsonParser parser;
    private final Map<String, Object> root = new LinkedHashMap<>();
    /** The objects and arrays that have not ended yet, the innermost first. */
    private final Deque<Container> open = new ArrayDeque<>();

    /** An object or an array that has not ended yet. */
    private interface Container {
        void add(Object value) throws IOException;
    }

    private record OpenArray(List<Object> values) implements Container {
        @Override
        public void add(Object value) {
            values.add(value);
        }
    }

    private static final class OpenObject implements Container {
        private final Map<String, Object> fields;
        private String fieldName;

        OpenObject(Map<String, Object> fields) {
            this.fields = fields;
        }

        @Override
        public void add(Object value) throws IOException {
            if (fields.containsKey(fieldName)) {
                throw new MalformedMessageException("expected each field once, found twice " + fieldName);
            }
            fields.put(fieldName, value);
        }
    }

    /** Begins an object whose first token, its opening brace, has just been read. */
    JsonTreeBuilder(JsonParser parser) {
        this.parser = parser;
        open.push(new OpenObject(root));
    }

    /**
     * Adds the parser's current token.
     *
     * @return whether the object is complete with it
     * @throws IOException where an object has a field twice
     */
    boolean add(JsonToken token) throws IOException {
        if (token == JsonToken.FIELD_NAME) {
            ((OpenObject) open.element()).fieldName = parser.currentName();
        } else if (token == JsonToken.START_OBJECT) {
            Map<String, Object> fields = new LinkedHashMap<>();
            open.element().add(fields);
            open.push(new OpenObject(fields));
        } else if (token == JsonToken.START_ARRAY) {
            List<Object> values = new ArrayList<>();
            open.element().add(values);
            open.push(new OpenArray(values));
        } else if (token.isStructEnd()) {
            open.pop();
        } else {
            open.element().add(scalar(parser, token));
        }
        return open.isEmpty();
    }

    /** Returns the object; complete once {@link #add} has said so. */
    Map<String, Object> root() {
        return root;
    }

    /** Returns the value of a token that is a string, a number, a boolean or null. */
    static Object scalar(JsonParser parser, JsonToken token) throws IOException {
        return switch (token) {
            case VALUE_STRING -> parser.getText();
            case VALUE_NUMBER_INT, VALUE_NUMBER_FLOAT -> parser.getNumberValue();
            case VALUE_TRUE -> true;
            case VALUE_FALSE -> false;
            default -> null;
        };
    }
}
