package gatelock.simulator;

import gatelock.api.LoadReport;
import java.util.Map;

/**
 * Reads the fields of one line in order: the message's name, then its values, separated by single spaces. A value that
 * is missing or {@code -} is absent.
 *
 * <p>Each {@code what} parameter names the value in the {@link MalformedLineException} that is thrown where it is
 * absent or not of its kind.
 */
final class FieldReader {
    private static final String ABSENT = "-";

    private final String line;
    private final String name;
    private int position;

    FieldReader(String line) {
        this.line = line;
        this.name = nextField();
    }

    /** The message's name. */
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

    /** Reads a text that must be there. */
    String requiredText(String what) {
        String field = nextField();
        if (isAbsent(field)) {
            throw new MalformedLineException("expected " + what + " in " + name);
        }
        return field;
    }

    /** Reads what is left of the line, with its spaces. */
    String rest() {
        return position > line.length() ? "" : line.substring(position);
    }

    /** Reads a whole number that must be there. */
    long requiredLong(String what) {
        return parseLong(requiredText(what), what);
    }

    /** Reads a whole number that must be there and fit an int. */
    int requiredInt(String what) {
        return (int) requiredLong(what);
    }

    /** Reads a whole number, or the default where it is absent. */
    long optionalLong(long defaultValue) {
        String field = nextField();
        return isAbsent(field) ? defaultValue : parseLong(field, "a whole number");
    }

    /** Reads a whole number that fits an int, or the default where it is absent. */
    int optionalInt(int defaultValue) {
        return (int) optionalLong(defaultValue);
    }

    /** Reads a number, or the default where it is absent. */
    double optionalDouble(double defaultValue) {
        String field = nextField();
        return isAbsent(field) ? defaultValue : parseDouble(field);
    }

    /** Reads an index below {@code count} that must be there. */
    int requiredIndex(String what, int count) {
        return checkIndex(count, requiredLong(what), what);
    }

    /** Reads an index below {@code count}, or the default where it is absent. */
    int optionalIndex(int defaultValue, String what, int count) {
        return checkIndex(count, optionalLong(defaultValue), what);
    }

    private int checkIndex(int count, long value, String what) {
        if (value < 0 || value >= count) {
            throw new MalformedLineException(
                    "expected " + what + " below " + count + " in " + name + ", found " + value);
        }
        return (int) value;
    }

    /** Reads a word that must be one of the given ones, and returns what it stands for. */
    <T> T oneOf(Map<String, T> meanings, String what) {
        String word = requiredText(what);
        T meaning = meanings.get(word);
        if (meaning == null) {
            throw new MalformedLineException("expected " + what + " in " + name + ", found " + word);
        }
        return meaning;
    }

    /** Reads an endpoint's load report: name:value pairs separated by commas. */
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

    private long parseLong(String field, String what) {
        try {
            return Long.parseLong(field);
        } catch (NumberFormatException e) {
            throw new MalformedLineException("expected " + what + " in " + name + ", found " + field);
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
