package gatelock.boot;

import gatelock.config.Diagnostic;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Collectors;

/**
 * A configuration file that can't be used. The message is what the user reads; the fields hold the same for code
 * that handles it.
 */
final class ConfigurationException extends IOException {
    private static final long serialVersionUID = 1L;

    private final transient Path file;
    private final transient List<Problem> problems;

    /**
     * One thing that is wrong in a file.
     *
     * @param place a key path or JSON pointer; empty where it concerns the whole file
     * @param cause what is wrong there
     * @param remedy what to change; empty where the cause says it
     */
    record Problem(String place, String cause, String remedy) {

        /** Place, cause and remedy on one line. */
        String text() {
            String placed = place.isEmpty() ? cause : place + ": " + cause;
            return remedy.isEmpty() ? placed : placed + "; " + remedy;
        }
    }

    private ConfigurationException(Path file, List<Problem> problems, String message, Throwable cause) {
        super(message, cause);
        this.file = file;
        this.problems = List.copyOf(problems);
    }

    /** The first thing that is wrong in a relay's configuration. */
    static ConfigurationException inRelayFile(Path file, Problem problem, Throwable cause) {
        String firstLine = problem.text().lines().findFirst().orElse("");
        return new ConfigurationException(file, List.of(problem), "configuration " + file + ": " + firstLine, cause);
    }

    /** All that is wrong in an operator's file, one a line, each with its line and column. */
    static ConfigurationException inOperatorFile(Path file, List<Diagnostic> diagnostics) {
        List<Problem> problems = diagnostics.stream()
                .map(found -> new Problem(found.pointer(), found.problem(), found.remedy()))
                .toList();
        String message = diagnostics.stream().map(found -> file + ":" + found).collect(Collectors.joining("\n"));
        return new ConfigurationException(file, problems, message, null);
    }

    /** An operator's file that could not be read at all. */
    static ConfigurationException unreadableOperatorFile(Path file, IOException cause) {
        Problem problem = new Problem("", "can't be read: " + cause, "");
        return new ConfigurationException(
                file, List.of(problem), "operator's file " + file + " " + problem.text(), cause);
    }

    /** The file that can't be used. */
    Path file() {
        return file;
    }

    /** What is wrong in it, at least one. */
    List<Problem> problems() {
        return problems;
    }
}
