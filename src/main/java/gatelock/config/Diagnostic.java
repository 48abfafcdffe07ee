package gatelock.config;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Something that is wrong with a version.
 *
 * @param code stable, listed in the operator's page
 * @param grave whether the version is turned down for it; if not it is a warning
 * @param pointer where it stands, as a JSON pointer (RFC 6901)
 * @param line from 1, or 0 where there is no such place in the text
 * @param column from 1, or 0
 * @param wrong what is wrong
 * @param mend what would mend it
 */
public record Diagnostic(String code, boolean grave, String pointer, int line, int column, String wrong, String mend) {

    /** By name, as it goes to a control service or into a JSON answer. */
    public Map<String, Object> fields() {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("code", code);
        fields.put("grave", grave);
        fields.put("pointer", pointer);
        fields.put("line", line);
        fields.put("column", column);
        fields.put("wrong", wrong);
        fields.put("mend", mend);
        return fields;
    }

    /** One line: place, code, what is wrong, what mends it. */
    @Override
    public String toString() {
        return line + ":" + column + " " + (pointer.isEmpty() ? "/" : pointer) + " " + code
                + (grave ? " " : " (warning) ") + wrong + "; " + mend;
    }
}
