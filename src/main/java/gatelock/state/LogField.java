package gatelock.state;

/**
 * A value in a log line that bears a name, so that a structured log has it as a field. Goes among the
 * parameters of a
 * System.Logger call; a plain log shows the value.
 */
public record LogField(String name, Object value) {

    public static LogField of(String name, Object value) {
        return new LogField(name, value);
    }

    @Override
    public String toString() {
        return String.valueOf(value);
    }
}
