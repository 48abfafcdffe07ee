package gatelock;

import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/** The named values of a scenario step, such as {@code cap=0.2 ago=1s}. */
final class ScenarioValues {
    private final Map<String, String> values = new HashMap<>();

    /** Parses the words that contain an equals sign; other words are ignored. */
    static ScenarioValues of(String[] words) {
        ScenarioValues result = new ScenarioValues();
        for (String word : words) {
            int equals = word.indexOf('=');
            if (equals >= 0) {
                result.values.put(word.substring(0, equals), word.substring(equals + 1));
            }
        }
        return result;
    }

    /** Adds other values and replaces those of the same name. */
    void putAll(ScenarioValues others) {
        values.putAll(others.values);
    }

    /** Whether a value of this name is set. */
    boolean has(String name) {
        return values.containsKey(name);
    }

    /** Returns a value as it is written. */
    String text(String name, String defaultValue) {
        return values.getOrDefault(name, defaultValue);
    }

    /** Returns a value as a number. */
    double number(String name, double defaultValue) {
        return has(name) ? Double.parseDouble(values.get(name)) : defaultValue;
    }

    /** Returns a value as a number without its fraction. */
    int integer(String name, int defaultValue) {
        return (int) number(name, defaultValue);
    }

    /** Returns a time such as {@code 20ms} or {@code 1.5s} in microseconds. */
    long timeUs(String name, String defaultValue) {
        return parseTimeUs(text(name, defaultValue));
    }

    /** Returns a value as an enum constant. */
    <E extends Enum<E>> E constant(Class<E> type, String name, String defaultValue) {
        return parseConstant(type, text(name, defaultValue));
    }

    /** Parses a time such as {@code 20ms} or {@code 1.5s} into microseconds. */
    static long parseTimeUs(String time) {
        return time.endsWith("ms")
                ? Math.round(Double.parseDouble(time.replace("ms", "")) * 1000)
                : Math.round(Double.parseDouble(time.replace("s", "")) * 1_000_000);
    }

    /** Parses the name of an enum constant in lower case and with hyphens. */
    static <E extends Enum<E>> E parseConstant(Class<E> type, String name) {
        return Enum.valueOf(type, name.toUpperCase(Locale.ROOT).replace('-', '_'));
    }
}
