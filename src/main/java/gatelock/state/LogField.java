package gatelock.state;

/**
 * A named value among the parameters of a {@link System.Logger} call. A structured log shows it as a separate field, a
 * plain log shows only the value.
 *
 * @param name the field's name
 * @param value the value; may be null
 */
public record LogField(String name, Object value) {

    /** Returns a field with this name and value. */
    public static LogField of(String name, Object value) {
        return new LogField(name, value);
    }

    @Override
    public String toString() {
        return String.valueOf(value);
    }
}
