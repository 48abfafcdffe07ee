package gatelock.boot;

import java.io.PrintWriter;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/**
 * The command line. Each command ends with 0: good, 1: findings or a refusal, 2: input that can't be used. The commands
 * themselves are in {@link RelayCommands}, {@link FileCommands} and {@link AdminCommands}.
 */
@Command(
        name = "gatelock",
        mixinStandardHelpOptions = true,
        version = "gatelock 0.1.0",
        description = "Routes reqs while builds are released in stages, and votes on them.",
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {"0:good", "1:findings, a difference, or a refusal", "2:input that can't be used"},
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
    /** Exit code: the command did what it was asked for, and found nothing wrong. */
    static final int GOOD = 0;
    /** Exit code: findings, a difference, or a refusal. */
    static final int FINDINGS = 1;
    /** Exit code: input that can't be used. */
    static final int UNUSABLE = 2;
    /** In place of an exit code: the program goes on running. */
    static final int RUNNING = -1;

    private Commands() {}

    /** Runs one command and returns its exit code, or {@link #RUNNING}. */
    static int run(PrintWriter out, PrintWriter err, String... args) {
        return new CommandLine(new Commands())
                .setOut(out)
                .setErr(err)
                .setExecutionExceptionHandler((e, command, parsed) -> {
                    String message = e instanceof UnusableInputException ? e.getMessage() : e.toString();
                    command.getErr().println("gatelock: " + message);
                    return UNUSABLE;
                })
                .execute(args);
    }
}
