package gatelock.wire;

import com.fasterxml.jackson.jr.ob.JSON;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
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

    public Json object(String name) throws IOException {
        return of(need(name), name);
    }

    public List<Json> objects(String name) throws IOException {
        if (!(need(name) instanceof List<?> list)) {
            throw new IOException("expected a list under " + name);
        }
        List<Json> found = new ArrayList<>(list.size());
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
        String text = text(name);
        int colon = text.lastIndexOf(':');
        try {
            if (colon > 0) {
                return new InetSocketAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
            }
        } catch (IllegalArgumentException e) {
            // falls through to the one message
        }
        throw new IOException("expected address:port under " + name + ", found " + text);
    }

    public double number(String name) throws IOException {
        return numeric(name).doubleValue();
    }

    public long whole(String name) throws IOException {
        return numeric(name).longValue();
    }

    private Number numeric(String name) throws IOException {
        if (need(name) instanceof Number number) {
            return number;
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
