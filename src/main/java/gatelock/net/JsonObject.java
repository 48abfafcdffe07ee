package gatelock.net;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.jr.ob.JSON;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * One JSON object of a message, with access to its fields by name and type. The format of fields is validated only
 * here. A field that is absent, of another type or out of range causes a {@link MalformedMessageException}, so that a
 * malformed message is rejected as a whole.
 */
public record JsonObject(Map<String, Object> fields) {
    /**
     * The upper limit of all ids, counts and times. Times up to this limit are still exact when converted to
     * microseconds.
     */
    private static final double MAX_NUMBER = 1e15;

    /**
     * Parses a text that consists of one object.
     *
     * @throws IOException if the text is not a JSON object, or other text follows the object
     */
    public static JsonObject parse(byte[] text) throws IOException {
        try (JsonParser parser = JSON.std.createParser(new String(text, StandardCharsets.UTF_8))) {
            Map<String, Object> fields = JSON.std.mapFrom(parser);
            if (fields == null || parser.nextToken() != null) {
                throw new MalformedMessageException("expected one JSON object");
            }
            return new JsonObject(fields);
        } catch (RuntimeException e) {
            throw new MalformedMessageException("expected a JSON object", e);
        }
    }

    /** Returns the object in a field. */
    public JsonObject object(String name) throws IOException {
        return asObject(required(name), name);
    }

    /** Returns the objects of the array in a field. */
    public List<JsonObject> objects(String name) throws IOException {
        if (!(required(name) instanceof List<?> list)) {
            throw new MalformedMessageException("expected an array in field " + name);
        }
        List<JsonObject> objects = new ArrayList<>(list.size());
        for (Object item : list) {
            objects.add(asObject(item, name));
        }
        return objects;
    }

    /** Returns the text in a field. */
    public String text(String name) throws IOException {
        if (required(name) instanceof String text) {
            return text;
        }
        throw new MalformedMessageException("expected text in field " + name);
    }

    /** Returns the text in a field, or the default if the field is absent or is not text. */
    public String textOr(String name, String defaultValue) {
        return fields.get(name) instanceof String text ? text : defaultValue;
    }

    /** Returns the address in a field of the form {@code host:port}, and resolves the host name. */
    public InetSocketAddress address(String name) throws IOException {
        return resolveAddress(addressText(name));
    }

    /** Returns the text in a field of the form {@code host:port}, without resolving the host name. */
    public String addressText(String name) throws IOException {
        String text = text(name);
        if (isAddress(text)) {
            return text;
        }
        throw new MalformedMessageException("expected address:port in field " + name + ", found " + text);
    }

    /** Returns the address in a text from {@link #addressText}, and resolves the host name. */
    public static InetSocketAddress resolveAddress(String text) {
        int colon = text.lastIndexOf(':');
        return new InetSocketAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }

    /** Returns the number in a field, which may be negative and have a fraction. */
    public double number(String name) throws IOException {
        return numberWithin(-MAX_NUMBER, MAX_NUMBER, name).doubleValue();
    }

    /** Returns the non-negative number in a field, truncated to a whole number. */
    public long nonNegativeLong(String name) throws IOException {
        return numberWithin(0, MAX_NUMBER, name).longValue();
    }

    /**
     * Returns the non-negative number in a field that fits an {@code int}, such as the id of a build, truncated to a
     * whole number.
     */
    public int nonNegativeInt(String name) throws IOException {
        return numberWithin(0, Integer.MAX_VALUE, name).intValue();
    }

    /** Returns the result of {@link #nonNegativeLong}, or the default if the field is absent or null. */
    public long nonNegativeLongOr(String name, long defaultValue) throws IOException {
        return fields.get(name) == null ? defaultValue : nonNegativeLong(name);
    }

    /** Returns whether a field is {@code true}. An absent field or any other value counts as {@code false}. */
    public boolean isTrue(String name) {
        return Boolean.TRUE.equals(fields.get(name));
    }

    private Number numberWithin(double min, double max, String name) throws IOException {
        Object value = required(name);
        if (value instanceof Number number && number.doubleValue() >= min && number.doubleValue() <= max) {
            return number;
        }
        throw new MalformedMessageException("expected a number within the valid range in field " + name);
    }

    private Object required(String name) throws IOException {
        Object value = fields.get(name);
        if (value == null) {
            throw new MalformedMessageException("missing field " + name);
        }
        return value;
    }

    private static boolean isAddress(String text) {
        int colon = text.lastIndexOf(':');
        if (colon <= 0) {
            return false;
        }
        try {
            InetSocketAddress.createUnresolved(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
            return true;
        } catch (IllegalArgumentException e) {
            return false;
        }
    }

    // The keys of a JSON object are always strings, so the cast is safe.
    @SuppressWarnings("unchecked")
    private static JsonObject asObject(Object value, String name) throws IOException {
        if (value instanceof Map<?, ?> map) {
            return new JsonObject((Map<String, Object>) map);
        }
        throw new MalformedMessageException("expected an object in field " + name);
    }
}
