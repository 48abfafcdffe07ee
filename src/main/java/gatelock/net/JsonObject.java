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
 * One JSON object of a message, with its fields read by name and type; the only place where their form is checked.
 * A field that is absent, of another type or out of any sensible range is a {@link MalformedMessageException}, so that
 * a malformed message is rejected as a whole.
 */
public record JsonObject(Map<String, Object> fields) {
    /** The bound of all ids, counts and times; times up to it are still whole as microseconds. */
    private static final double MAX_NUMBER = 1e15;

    /**
     * Parses a text that consists of one object.
     *
     * @throws IOException where it is no JSON object, or anything follows behind it
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
            throw new MalformedMessageException("expected a list under " + name);
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
        throw new MalformedMessageException("expected text under " + name);
    }

    /** Returns the text in a field, or the default where it is absent or no text. */
    public String textOr(String name, String defaultValue) {
        return fields.get(name) instanceof String text ? text : defaultValue;
    }

    /** Returns the address in a field of the form {@code host:port}; looks up a host that is a name. */
    public InetSocketAddress address(String name) throws IOException {
        return resolveAddress(addressText(name));
    }

    /** Returns the text in a field of the form {@code host:port}; the host is not looked up. */
    public String addressText(String name) throws IOException {
        String text = text(name);
        if (isAddress(text)) {
            return text;
        }
        throw new MalformedMessageException("expected address:port under " + name + ", found " + text);
    }

    /** Returns the address that a text from {@link #addressText} names; looks up a host that is a name. */
    public static InetSocketAddress resolveAddress(String text) {
        int colon = text.lastIndexOf(':');
        return new InetSocketAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }

    /** Returns the number in a field, which may be negative and have a fraction. */
    public double number(String name) throws IOException {
        return numberWithin(-MAX_NUMBER, MAX_NUMBER, name).doubleValue();
    }

    /** Returns the number from 0 on in a field; a fraction is cut off. */
    public long nonNegativeLong(String name) throws IOException {
        return numberWithin(0, MAX_NUMBER, name).longValue();
    }

    /** Returns the number from 0 on in a field that fits an {@code int}, such as the id of a build; cuts a fraction. */
    public int nonNegativeInt(String name) throws IOException {
        return numberWithin(0, Integer.MAX_VALUE, name).intValue();
    }

    /** Returns the same as {@link #nonNegativeLong}, or the default where the field is absent or null. */
    public long nonNegativeLongOr(String name, long defaultValue) throws IOException {
        return fields.get(name) == null ? defaultValue : nonNegativeLong(name);
    }

    /** Returns whether a field is {@code true}; anything else, and an absent field, counts as {@code false}. */
    public boolean isTrue(String name) {
        return Boolean.TRUE.equals(fields.get(name));
    }

    private Number numberWithin(double min, double max, String name) throws IOException {
        Object value = required(name);
        if (value instanceof Number number && number.doubleValue() >= min && number.doubleValue() <= max) {
            return number;
        }
        throw new MalformedMessageException("expected a number in its range under " + name);
    }

    private Object required(String name) throws IOException {
        Object value = fields.get(name);
        if (value == null) {
            throw new MalformedMessageException("expected " + name);
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

    // JSON objects have text keys only, so that the cast can't fail.
    @SuppressWarnings("unchecked")
    private static JsonObject asObject(Object value, String name) throws IOException {
        if (value instanceof Map<?, ?> map) {
            return new JsonObject((Map<String, Object>) map);
        }
        throw new MalformedMessageException("expected an object under " + name);
    }
}
