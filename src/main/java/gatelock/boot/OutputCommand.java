package gatelock.boot;

import com.fasterxml.jackson.jr.ob.JSON;
import java.io.IOException;
import java.io.PrintWriter;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Option;

/** What all commands share: help, and output as text or JSON. A command returns its exit code. */
abstract class OutputCommand implements Callable<Integer> {
    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    @Option(names = "--json", description = "answer as JSON")
    private boolean json;

    // The command line's library only needs the field's annotation.
    @SuppressWarnings("UnusedVariable")
    @Option(
            names = {"-h", "--help"},
            usageHelp = true,
            description = "show this help")
    private boolean help;

    /** Where output goes. */
    final PrintWriter out() {
        return spec.commandLine().getOut();
    }

    /** Prints a value as JSON on one line, or the text that says the same. */
    final void print(Object value, String text) throws IOException {
        printText(json ? JSON.std.asString(value) : text);
    }

    /** Prints a text, whatever the form that was asked for. */
    final void printText(String text) {
        out().println(text);
        out().flush();
    }
}
