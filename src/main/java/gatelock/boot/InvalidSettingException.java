package gatelock.boot;

import java.io.IOException;
import java.util.regex.Pattern;

/** Thrown for a setting that is missing or invalid, by code that does not know the name of the file. */
final class InvalidSettingException extends IOException {
    private static final long serialVersionUID = 1L;
    private static final Pattern INDEX = Pattern.compile("\\.(\\d+)\\.");

    private final transient ConfigurationException.Problem problem;

    /**
     * Creates an exception for one setting.
     *
     * @param path the path of the flattened setting, such as {@code lanes.0.deadlineNs}
     * @param found the value that was found, or null if there is none
     * @param expected describes the expected value
     * @param remedy how to correct the setting; may be empty
     */
    InvalidSettingException(String path, String found, String expected, String remedy) {
        this(new ConfigurationException.Problem(
                locationInFile(path),
                "expected " + expected + ", found " + (found == null ? "nothing" : found),
                remedy));
    }

    private InvalidSettingException(ConfigurationException.Problem problem) {
        super(problem.toLine());
        this.problem = problem;
    }

    /** Returns the path as it is written in the file, such as {@code settings.lanes[0].deadlineNs}. */
    private static String locationInFile(String path) {
        return "settings." + INDEX.matcher(path).replaceAll("[$1].");
    }

    /** Returns the problem: its location, cause and remedy. */
    ConfigurationException.Problem problem() {
        return problem;
    }
}
