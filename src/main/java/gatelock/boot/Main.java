package gatelock.boot;

import gatelock.simulator.SimulatorHost;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.nio.charset.Charset;
import java.nio.file.Path;
import java.util.logging.LogManager;

/** The program's entry point. */
public final class Main {
    /** The environment variable that names the configuration file of the relay. */
    private static final String CONFIG_VARIABLE = "PROXY_CONFIG";

    /**
     * Keeps logging enabled during shutdown: the default log manager closes all handlers as soon as SIGTERM arrives.
     */
    public static final class NonResettingLogManager extends LogManager {
        @Override
        public void reset() {
            // handlers remain open until the process ends
        }
    }

    private Main() {}

    /**
     * Runs one command. The arguments with which the platform starts a relay bypass the command line library, which
     * would delay the start by more than 0.1 s on half a core.
     */
    public static void main(String[] args) throws IOException {
        System.setProperty("java.util.logging.manager", NonResettingLogManager.class.getName());
        // Otherwise the libraries would initialize logback at every start, even if it is not configured.
        System.setProperty("org.jboss.logging.provider", "jdk");
        switch (String.join(" ", args)) {
            case "serve" -> exitUnlessRunning(serve(StartMode.WARM, null));
            case "serve cold" -> exitUnlessRunning(serve(StartMode.COLD, null));
            case "rehearse" -> exitUnlessRunning(serve(StartMode.WARM_UP_ONLY, null));
            case "wirehost" -> SimulatorHost.main(args);
            default -> exitUnlessRunning(Commands.run(writer(System.out), writer(System.err), args));
        }
    }

    /**
     * Starts a relay with the configuration that the environment names.
     *
     * @param mode how the relay starts
     * @param operatorFile the operator's file, or null
     * @return {@link Commands#STILL_RUNNING}, or {@link Commands#EXIT_UNUSABLE_INPUT} after printing the cause to
     *     standard error
     */
    static int serve(StartMode mode, Path operatorFile) {
        SighupHandler sighup = SighupHandler.install();
        String file = System.getenv(CONFIG_VARIABLE);
        if (file == null) {
            System.err.println("gatelock: " + CONFIG_VARIABLE + " is not set; it must name the configuration file");
            return Commands.EXIT_UNUSABLE_INPUT;
        }
        Path path = Path.of(file);
        try {
            RelayConfig config = RelayConfig.read(path);
            OperatorConfig operator = operatorFile == null ? null : OperatorConfigReader.read(operatorFile, config);
            RelayService.start(path, config, operatorFile, operator, mode, sighup);
            return Commands.STILL_RUNNING;
        } catch (IOException e) {
            System.err.println("gatelock: " + e.getMessage());
            return Commands.EXIT_UNUSABLE_INPUT;
        }
    }

    private static PrintWriter writer(OutputStream out) {
        return new PrintWriter(out, true, Charset.defaultCharset());
    }

    private static void exitUnlessRunning(int exitCode) {
        if (exitCode != Commands.STILL_RUNNING) {
            System.exit(exitCode);
        }
    }
}
