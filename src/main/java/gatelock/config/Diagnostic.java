package gatelock.config;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * One finding about a configuration document: an error, for which the document is rejected, or a warning.
 *
 * @param code stable identifier such as {@code M-POOL}; all codes are listed in docs/operate/versioned-configuration.md
 * @param isError true for an error, false for a warning
 * @param pointer location in the document as a JSON pointer (RFC 6901); empty for the whole document
 * @param line line of that location, counted from 1, or 0 where it is unknown
 * @param column column of that location, counted from 1, or 0 where it is unknown
 * @param problem what is wrong, for a person
 * @param remedy what the author can do about it, for a person
 */
public record Diagnostic(
        String code, boolean isError, String pointer, int line, int column, String problem, String remedy) {

    /** Creates an error whose line and column are not known yet; {@link ConfigDocument#withLocations} fills them in. */
    static Diagnostic newError(String code, String pointer, String problem, String remedy) {
        return new Diagnostic(code, true, pointer, 0, 0, problem, remedy);
    }

    /** Creates a warning whose line and column are not known yet; {@link ConfigDocument#withLocations} fills them in. */
    static Diagnostic newWarning(String code, String pointer, String problem, String remedy) {
        return new Diagnostic(code, false, pointer, 0, 0, problem, remedy);
    }

    /** Returns the same finding with its location in the text. */
    Diagnostic withLocation(int newLine, int newColumn) {
        return new Diagnostic(code, isError, pointer, newLine, newColumn, problem, remedy);
    }

    /**
     * Returns the finding as an ordered JSON object, as it goes to a control service or into the output of {@code
     * --json}. These keys are part of the interface and stay as they are.
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

    /** Returns one line for the log or the console: location, code, problem and remedy. */
    @Override
    public String toString() {
        String location = line + ":" + column + " " + (pointer.isEmpty() ? "/" : pointer);
        return location + " " + code + (isError ? " " : " (warning) ") + problem + "; " + remedy;
    }
}
