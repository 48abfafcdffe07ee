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
 * One JSON object as it came, with its fields read by name; the one place where their form is checked. Whatever
 * is not of its kind or out of any sensible range is an {@link IOException}, so that a spoilt message is never
 * half believed.
 */
public record JsonObject(Map<String, Object> fields) {
    /** No id, count or time goes beyond; times are still whole as microseconds. */
    private static final double MOST_WHOLE = 1e15;

    /** Reads one object and nothing behind it. */
    public static JsonObject read(byte[] text) throws IOException {
        try (JsonParser parser = JSON.std.createParser(new String(text, StandardCharsets.UTF_8))) {
            Map<String, Object> fields = JSON.std.mapFrom(parser);
            if (fields == null || parser.nextToken() != null) {
                throw new IOException("expected one JSON object");
            }
            return new JsonObject(fields);
        } catch (RuntimeException e) {
            throw new IOException("expected a JSON object", e);
        }
    }

    public JsonObject object(String name) throws IOException {
        return of(need(name), name);
    }

    public List<JsonObject> objects(String name) throws IOException {
        if (!(need(name) instanceof List<?> list)) {
            throw new IOException("expected a list under " + name);
        }
        List<JsonObject> found = new ArrayList<>(list.size());
        for (Object item : list) {
            found.add(of(item, name));
        }
        return found;
    }

    public String text(String name) throws IOException {
        if (need(name) instanceof String text) {
            return text;
        }
        throw new IOException("expected text under " + name);
    }

    public String textOr(String name, String absent) {
        return fields.get(name) instanceof String text ? text : absent;
    }

    /** Text of the form address:port. */
    public InetSocketAddress address(String name) throws IOException {
        return resolved(addressText(name));
    }

    /** The same as it stands there, its form checked and its host not looked up. */
    public String addressText(String name) throws IOException {
        String text = text(name);
        int colon = text.lastIndexOf(':');
        try {
            if (colon > 0) {
                InetSocketAddress.createUnresolved(
                        text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
                return text;
            }
        } catch (IllegalArgumentException e) {
            // falls through to the one message
        }
        throw new IOException("expected address:port under " + name + ", found " + text);
    }

    /** What a text whose form was checked names. */
    public static InetSocketAddress resolved(String text) {
        int colon = text.lastIndexOf(':');
        return new InetSocketAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }

    public double number(String name) throws IOException {
        return within(need(name), -MOST_WHOLE, MOST_WHOLE, name).doubleValue();
    }

    /** A whole number from 0 on. */
    public long whole(String name) throws IOException {
        return within(need(name), 0, MOST_WHOLE, name).longValue();
    }

    /** A small whole number from 0 on, as ids of builds and stages are. */
    public int count(String name) throws IOException {
        return within(need(name), 0, Integer.MAX_VALUE, name).intValue();
    }

    public long wholeOr(String name, long absent) throws IOException {
        return fields.get(name) == null ? absent : whole(name);
    }

    private static Number within(Object value, double least, double most, String name) throws IOException {
        if (value instanceof Number number && number.doubleValue() >= least && number.doubleValue() <= most) {
            return number;
        }
        throw new IOException("expected a number in its range under " + name);
    }

    public boolean yes(String name) {
        return Boolean.TRUE.equals(fields.get(name));
    }

    private Object need(String name) throws IOException {
        Object value = fields.get(name);
        if (value == null) {
            throw new IOException("expected " + name);
        }
        return value;
    }

    @SuppressWarnings("unchecked")
    private static JsonObject of(Object value, String name) throws IOException {
        if (value instanceof Map<?, ?> map) {
            return new JsonObject((Map<String, Object>) map);
        }
        throw new IOException("expected an object under " + name);
    }
}
