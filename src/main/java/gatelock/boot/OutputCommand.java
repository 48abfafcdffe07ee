package gatelock.boot;

import com.fasterxml.jackson.jr.ob.JSON;
import java.io.IOException;
import java.io.PrintWriter;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Option;

/** Base class of commands: provides help, and output as text or JSON. A command returns its exit code. */
abstract class OutputCommand implements Callable<Integer> {
    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    @Option(names = "--json", description = "print JSON")
    private boolean json;

    // The command line library needs only the annotation of the field.
    @SuppressWarnings("UnusedVariable")
    @Option(
            names = {"-h", "--help"},
            usageHelp = true,
            description = "show this help")
    private boolean help;

    /** Returns the writer for the output of the command. */
    final PrintWriter out() {
        return spec.commandLine().getOut();
    }

    /** Prints the value as JSON on one line if JSON was requested, otherwise the equivalent text. */
    final void print(Object value, String text) throws IOException {
        printText(json ? JSON.std.asString(value) : text);
    }

    /** Prints a text, even if JSON was requested. */
    final void printText(String text) {
        out().println(text);
        out().flush();
    }
}
