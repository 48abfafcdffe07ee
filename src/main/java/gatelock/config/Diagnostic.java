package gatelock.config;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A problem found in a configuration document: either an error, which causes the document to be rejected, or a warning.
 *
 * @param code stable identifier such as {@code M-POOL}; all codes are listed in docs/operate/versioned-configuration.md
 * @param isError true for an error, false for a warning
 * @param pointer location in the document as a JSON pointer (RFC 6901); empty for the whole document
 * @param line line of that location, counted from 1, or 0 if unknown
 * @param column column of that location, counted from 1, or 0 if unknown
 * @param problem human-readable description of the problem
 * @param remedy human-readable advice on how to correct it
 */
public record Diagnostic(
        String code, boolean isError, String pointer, int line, int column, String problem, String remedy) {

    /** Creates an error without line and column; {@link ConfigDocument#withLocations} adds them. */
    static Diagnostic newError(String code, String pointer, String problem, String remedy) {
        return new Diagnostic(code, true, pointer, 0, 0, problem, remedy);
    }

    /** Creates a warning without line and column; {@link ConfigDocument#withLocations} adds them. */
    static Diagnostic newWarning(String code, String pointer, String problem, String remedy) {
        return new Diagnostic(code, false, pointer, 0, 0, problem, remedy);
    }

    /** Returns the same diagnostic with its location in the text. */
    Diagnostic withLocation(int newLine, int newColumn) {
        return new Diagnostic(code, isError, pointer, newLine, newColumn, problem, remedy);
    }

    /**
     * Returns the diagnostic as an ordered JSON object, as it is sent to a control service and printed with {@code
     * --json}. The keys are part of the public interface and must not change.
     */
    public Map<String, Object> toJsonFields() {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("code", code);
        fields.put("grave", isError);
        fields.put("pointer", pointer);
        fields.put("line", line);
        fields.put("column", column);
        fields.put("wrong", problem);
        fields.put("mend", remedy);
        return fields;
    }

    /** Returns the diagnostic as one line for the log or the console: location, code, problem and remedy. */
    @Override
    public String toString() {
        String location = line + ":" + column + " " + (pointer.isEmpty() ? "/" : pointer);
        return location + " " + code + (isError ? " " : " (warning) ") + problem + "; " + remedy;
    }
}
