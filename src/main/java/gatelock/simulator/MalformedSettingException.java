package gatelock.simulator;

/** A setting whose value is not of its kind. */
public final class MalformedSettingException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final String path;
    private final String found;
    private final String expected;
    private final String remedy;

    /**
     * Says what is wrong with one setting.
     *
     * @param path the setting's path, such as {@code lanes.0.effect}
     * @param found the value that is there
     * @param expected what kind of value it should be
     * @param remedy what to write instead; may be empty
     */
    MalformedSettingException(String path, String found, String expected, String remedy) {
        super("expected " + expected + " for " + path + ", found " + found);
        this.path = path;
        this.found = found;
        this.expected = expected;
        this.remedy = remedy;
    }

    /** The setting's path, such as {@code lanes.0.effect}. */
    public String path() {
        return path;
    }

    /** The value that is there. */
    public String found() {
        return found;
    }

    /** What kind of value it should be. */
    public String expected() {
        return expected;
    }

    /** What to write instead; may be empty. */
    public String remedy() {
        return remedy;
    }
}
