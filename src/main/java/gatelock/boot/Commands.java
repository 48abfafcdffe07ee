package gatelock.boot;

import java.io.PrintWriter;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/**
 * The command line. The exit codes are 0 for success, 1 for findings or a rejection, and 2 for unusable input. The
 * commands are in {@link RelayCommands}, {@link FileCommands} and {@link AdminCommands}.
 */
@Command(
        name = "gatelock",
        mixinStandardHelpOptions = true,
        version = "gatelock 0.1.0",
        description = "Routes requests during staged releases and votes on builds.",
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {"0:success", "1:findings, a difference, or a rejection", "2:unusable input"},
        subcommands = {
            RelayCommands.Serve.class,
            RelayCommands.Rehearse.class,
            RelayCommands.WireHost.class,
            FileCommands.Check.class,
            FileCommands.Diff.class,
            FileCommands.Explain.class,
            FileCommands.Schema.class,
            AdminCommands.Status.class,
            AdminCommands.History.class,
            AdminCommands.Back.class,
            AdminCommands.Release.class,
            CommandLine.HelpCommand.class
        })
final class Commands {
    /** Exit code: the command succeeded and has no findings. */
    static final int EXIT_OK = 0;
    /** Exit code: the command reports findings or a difference, or the relay rejected the request. */
    static final int EXIT_FINDINGS = 1;
    /** Exit code: the arguments or an input file are unusable, or no relay responded. */
    static final int EXIT_UNUSABLE_INPUT = 2;
    /** Returned instead of an exit code if the process keeps running. */
    static final int STILL_RUNNING = -1;

    private Commands() {}

    /** Runs one command and returns its exit code, or {@link #STILL_RUNNING}. */
    static int run(PrintWriter out, PrintWriter err, String... args) {
        return new CommandLine(new Commands())
                .setOut(out)
                .setErr(err)
                .setExecutionExceptionHandler((e, command, parsed) -> {
                    String message = e instanceof UnusableInputException ? e.getMessage() : e.toString();
                    command.getErr().println("gatelock: " + message);
                    return EXIT_UNUSABLE_INPUT;
                })
                .execute(args);
    }
}
