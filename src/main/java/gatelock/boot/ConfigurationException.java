package gatelock.boot;

import gatelock.config.Diagnostic;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Collectors;

/**
 * Thrown for an unusable configuration file. The message is shown to the user; the fields provide the same information
 * to code.
 */
final class ConfigurationException extends IOException {
    private static final long serialVersionUID = 1L;

    private final transient Path file;
    private final transient List<Problem> problems;

    /**
     * One problem in a file.
     *
     * @param location a key path or JSON pointer; empty if the problem concerns the whole file
     * @param cause what is wrong at that location
     * @param remedy how to correct it; empty if the cause makes that clear
     */
    record Problem(String location, String cause, String remedy) {

        /** Returns location, cause and remedy on one line. */
        String toLine() {
            String located = location.isEmpty() ? cause : location + ": " + cause;
            return remedy.isEmpty() ? located : located + "; " + remedy;
        }
    }

    private ConfigurationException(Path file, List<Problem> problems, String message, Throwable cause) {
        super(message, cause);
        this.file = file;
        this.problems = List.copyOf(problems);
    }

    /** Creates an exception for the first problem in a relay's configuration. */
    static ConfigurationException inRelayFile(Path file, Problem problem, Throwable cause) {
        String firstLine = problem.toLine().lines().findFirst().orElse("");
        return new ConfigurationException(file, List.of(problem), "configuration " + file + ": " + firstLine, cause);
    }

    /**
     * Creates an exception for all problems in an operator's file; the message has a line for each, with its position.
     */
    static ConfigurationException inOperatorFile(Path file, List<Diagnostic> diagnostics) {
        List<Problem> problems = diagnostics.stream()
                .map(diagnostic -> new Problem(diagnostic.pointer(), diagnostic.problem(), diagnostic.remedy()))
                .toList();
        String message =
                diagnostics.stream().map(diagnostic -> file + ":" + diagnostic).collect(Collectors.joining("\n"));
        return new ConfigurationException(file, problems, message, null);
    }

    /** Creates an exception for an operator's file that could not be read. */
    static ConfigurationException unreadableOperatorFile(Path file, IOException cause) {
        Problem problem = new Problem("", "can't be read: " + cause, "");
        return new ConfigurationException(
                file, List.of(problem), "operator's file " + file + " " + problem.toLine(), cause);
    }

    /** Returns the unusable file. */
    Path file() {
        return file;
    }

    /** Returns the problems in the file, at least one. */
    List<Problem> problems() {
        return problems;
    }
}
