package gatelock.simulator;

/** Thrown for a setting whose value cannot be parsed or is not one of the allowed values. */
public final class MalformedSettingException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final String path;
    private final String found;
    private final String expected;
    private final String remedy;

    /**
     * Creates an exception for one setting.
     *
     * @param path the setting's path, such as {@code lanes.0.effect}
     * @param found the value that was found
     * @param expected describes the expected value
     * @param remedy how to correct the setting; may be empty
     */
    MalformedSettingException(String path, String found, String expected, String remedy) {
        super("expected " + expected + " for " + path + ", found " + found);
        this.path = path;
        this.found = found;
        this.expected = expected;
        this.remedy = remedy;
    }

    /** Returns the setting's path, such as {@code lanes.0.effect}. */
    public String path() {
        return path;
    }

    /** Returns the value that was found. */
    public String found() {
        return found;
    }

    /** Returns the description of the expected value. */
    public String expected() {
        return expected;
    }

    /** Returns how to correct the setting; may be empty. */
    public String remedy() {
        return remedy;
    }
}
