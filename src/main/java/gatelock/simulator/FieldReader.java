package gatelock.simulator;

import gatelock.api.LoadReport;
import java.util.Map;

/** The fields of one line, read in order. */
final class FieldReader {
    private final String line;
    private final String name;
    private int at;

    FieldReader(String line) {
        this.line = line;
        this.name = field();
    }

    String name() {
        return name;
    }

    private String field() {
        if (at > line.length()) {
            return "";
        }
        int end = line.indexOf(' ', at);
        String part = line.substring(at, end < 0 ? line.length() : end);
        at += part.length() + 1;
        return part;
    }

    String text(String what) {
        String part = field();
        if (part.isEmpty() || part.equals("-")) {
            throw new MalformedLineException("expected " + what + " in " + name);
        }
        return part;
    }

    String rest() {
        return at > line.length() ? "" : line.substring(at);
    }

    long number(String what) {
        return parse(text(what), what);
    }

    long numberOr(long absent) {
        String part = field();
        return part.isEmpty() || part.equals("-") ? absent : parse(part, "a whole number");
    }

    double realOr(double absent) {
        String part = field();
        return part.isEmpty() || part.equals("-") ? absent : real(part);
    }

    int code(String what, int codes) {
        return below(codes, number(what), what);
    }

    int codeOr(int absent, String what, int codes) {
        return below(codes, numberOr(absent), what);
    }

    private int below(int codes, long value, String what) {
        if (value < 0 || value >= codes) {
            throw new MalformedLineException(
                    "expected " + what + " below " + codes + " in " + name + ", found " + value);
        }
        return (int) value;
    }

    <T> T oneOf(Map<String, T> words, String what) {
        String part = text(what);
        T value = words.get(part);
        if (value == null) {
            throw new MalformedLineException("expected " + what + " in " + name + ", found " + part);
        }
        return value;
    }

    LoadReport load() {
        String part = field();
        if (part.isEmpty() || part.equals("-")) {
            return LoadReport.NONE;
        }
        double waiting = Double.NaN;
        for (String pair : part.split(",")) {
            int colon = pair.indexOf(':');
            if (colon < 0) {
                throw new MalformedLineException("expected name:value in " + name + ", found " + pair);
            }
            double value = real(pair.substring(colon + 1));
            if (pair.substring(0, colon).equals("waiting")) {
                waiting = value;
            }
        }
        return new LoadReport(waiting);
    }

    private long parse(String part, String what) {
        try {
            return Long.parseLong(part);
        } catch (NumberFormatException e) {
            throw new MalformedLineException("expected " + what + " in " + name + ", found " + part);
        }
    }

    private double real(String part) {
        try {
            return Double.parseDouble(part);
        } catch (NumberFormatException e) {
            throw new MalformedLineException("expected a number in " + name + ", found " + part);
        }
    }
}
