package gatelock.boot;

import java.io.IOException;
import java.util.regex.Pattern;

/** A setting that is missing or out of its range, before it is known which file it came from. */
final class InvalidSettingException extends IOException {
    private static final long serialVersionUID = 1L;
    private static final Pattern INDEX = Pattern.compile("\\.(\\d+)\\.");

    private final transient ConfigurationException.Problem problem;

    /**
     * Says what is expected at a path and what was found there.
     *
     * @param path as the settings are flattened, such as {@code lanes.0.deadlineNs}
     * @param found null where there is nothing
     */
    InvalidSettingException(String path, String found, String expected, String remedy) {
        this(new ConfigurationException.Problem(
                place(path), "expected " + expected + ", found " + (found == null ? "nothing" : found), remedy));
    }

    private InvalidSettingException(ConfigurationException.Problem problem) {
        super(problem.text());
        this.problem = problem;
    }

    /** The path as it stands in the file: {@code settings.lanes[0].deadlineNs}. */
    private static String place(String path) {
        return "settings." + INDEX.matcher(path).replaceAll("[$1].");
    }

    /** What is wrong, where, and what mends it. */
    ConfigurationException.Problem problem() {
        return problem;
    }
}
