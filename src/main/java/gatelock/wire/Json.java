package gatelock.wire;

import com.fasterxml.jackson.jr.ob.JSON;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;

/** One JSON object as it came, with its fields read by name. */
public record Json(Map<String, Object> fields) {

    public static Json read(byte[] text) throws IOException {
        try {
            return new Json(JSON.std.mapFrom(new String(text, StandardCharsets.UTF_8)));
        } catch (ClassCastException e) {
            throw new IOException("expected a JSON object", e);
        }
    }

    public boolean has(String name) {
        return fields.get(name) != null;
    }

    public Json object(String name) throws IOException {
        return of(need(name), name);
    }

    public List<Json> objects(String name) throws IOException {
        if (!(need(name) instanceof List<?> list)) {
            throw new IOException("expected a list under " + name);
        }
        List<Json> found = new java.util.ArrayList<>(list.size());
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

    public double number(String name) throws IOException {
        if (need(name) instanceof Number number) {
            return number.doubleValue();
        }
        throw new IOException("expected a number under " + name);
    }

    public long whole(String name) throws IOException {
        if (need(name) instanceof Number number) {
            return number.longValue();
        }
        throw new IOException("expected a number under " + name);
    }

    public long wholeOr(String name, long absent) {
        return fields.get(name) instanceof Number number ? number.longValue() : absent;
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
    private static Json of(Object value, String name) throws IOException {
        if (value instanceof Map<?, ?> map) {
            return new Json((Map<String, Object>) map);
        }
        throw new IOException("expected an object under " + name);
    }
}
