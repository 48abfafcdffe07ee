package gatelock.simulator;

import gatelock.api.LoadReport;
import java.util.Map;

/**
 * Reads the fields of one line in order: the name of the message, then its values, separated by single spaces. A value
 * that is missing or {@code -} is absent.
 *
 * <p>The {@code fieldName} parameters name the value in the {@link MalformedLineException} that is thrown if a required
 * value is absent or if a value has the wrong type.
 */
final class FieldReader {
    private static final String ABSENT = "-";

    private final String line;
    private final String name;
    private int position;

    /** Creates a reader of one line and reads the name of its message. */
    FieldReader(String line) {
        this.line = line;
        this.name = nextField();
    }

    /** Returns the name of the message. */
    String name() {
        return name;
    }

    private String nextField() {
        if (position > line.length()) {
            return "";
        }
        int end = line.indexOf(' ', position);
        String field = line.substring(position, end < 0 ? line.length() : end);
        position += field.length() + 1;
        return field;
    }

    private static boolean isAbsent(String field) {
        return field.isEmpty() || field.equals(ABSENT);
    }

    /** Reads a required text. */
    String requiredText(String fieldName) {
        String field = nextField();
        if (isAbsent(field)) {
            throw new MalformedLineException("expected " + fieldName + " in " + name);
        }
        return field;
    }

    /** Reads the rest of the line, including its spaces. */
    String rest() {
        return position > line.length() ? "" : line.substring(position);
    }

    /** Reads a required integer. */
    long requiredLong(String fieldName) {
        return parseLong(requiredText(fieldName), fieldName);
    }

    /** Reads a required integer that must fit an int; the value is cast without a check. */
    int requiredInt(String fieldName) {
        return (int) requiredLong(fieldName);
    }

    /** Reads an integer, or returns the default if it is absent. */
    long optionalLong(long defaultValue) {
        String field = nextField();
        return isAbsent(field) ? defaultValue : parseLong(field, "an integer");
    }

    /** Reads an integer that must fit an int, or returns the default if it is absent; cast without a check. */
    int optionalInt(int defaultValue) {
        return (int) optionalLong(defaultValue);
    }

    /** Reads a number, or returns the default if it is absent. */
    double optionalDouble(double defaultValue) {
        String field = nextField();
        return isAbsent(field) ? defaultValue : parseDouble(field);
    }

    /** Reads a required index from 0 to {@code count} - 1. */
    int requiredIndex(String fieldName, int count) {
        return checkIndex(count, requiredLong(fieldName), fieldName);
    }

    /** Reads an index from 0 to {@code count} - 1, or returns the default if it is absent. */
    int optionalIndex(int defaultValue, String fieldName, int count) {
        return checkIndex(count, optionalLong(defaultValue), fieldName);
    }

    private int checkIndex(int count, long value, String fieldName) {
        if (value < 0 || value >= count) {
            throw new MalformedLineException(
                    "expected " + fieldName + " below " + count + " in " + name + ", found " + value);
        }
        return (int) value;
    }

    /** Reads a required word that must be one of the given keys, and returns the value of that key. */
    <T> T oneOf(Map<String, T> valuesByWord, String fieldName) {
        String word = requiredText(fieldName);
        T value = valuesByWord.get(word);
        if (value == null) {
            throw new MalformedLineException("expected " + fieldName + " in " + name + ", found " + word);
        }
        return value;
    }

    /** Reads an endpoint's load report: comma-separated name:value pairs, of which only {@code waiting} is used. */
    LoadReport loadReport() {
        String field = nextField();
        if (isAbsent(field)) {
            return LoadReport.NONE;
        }
        double waiting = Double.NaN;
        for (String pair : field.split(",", 0)) {
            int colon = pair.indexOf(':');
            if (colon < 0) {
                throw new MalformedLineException("expected name:value in " + name + ", found " + pair);
            }
            double value = parseDouble(pair.substring(colon + 1));
            if (pair.substring(0, colon).equals("waiting")) {
                waiting = value;
            }
        }
        return new LoadReport(waiting);
    }

    private long parseLong(String field, String fieldName) {
        try {
            return Long.parseLong(field);
        } catch (NumberFormatException e) {
            throw new MalformedLineException("expected " + fieldName + " in " + name + ", found " + field);
        }
    }

    private double parseDouble(String field) {
        try {
            return Double.parseDouble(field);
        } catch (NumberFormatException e) {
            throw new MalformedLineException("expected a number in " + name + ", found " + field);
        }
    }
}
