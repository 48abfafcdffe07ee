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
    /** Names the file with a relay's configuration. */
    private static final String CONFIG_VARIABLE = "PROXY_CONFIG";

    /** Keeps log lines going while the program shuts down: the usual manager falls silent on SIGTERM at once. */
    public static final class StayingLog extends LogManager {
        @Override
        public void reset() {
            // handlers stay open until the process ends
        }
    }

    private Main() {}

    /**
     * Runs one command. The arguments with which the platform starts a relay bypass the command line's library, which
     * costs a start at half a core more than a tenth of a second.
     */
    public static void main(String[] args) throws IOException {
        System.setProperty("java.util.logging.manager", StayingLog.class.getName());
        // Else the libraries would start the logging library at every start, whether it is asked for or not.
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
     * Starts a relay on the configuration that the environment names.
     *
     * @param operatorFile the operator's own file, or null
     * @return {@link Commands#RUNNING}, or {@link Commands#UNUSABLE} once the cause is on standard error
     */
    static int serve(StartMode mode, Path operatorFile) {
        SighupHandler sighup = SighupHandler.install();
        String file = System.getenv(CONFIG_VARIABLE);
        if (file == null) {
            System.err.println("gatelock: " + CONFIG_VARIABLE + " names no configuration");
            return Commands.UNUSABLE;
        }
        Path path = Path.of(file);
        try {
            RelayConfig config = RelayConfig.read(path);
            OperatorConfig operator = operatorFile == null ? null : OperatorConfigReader.read(operatorFile, config);
            RelayService.start(path, config, operatorFile, operator, mode, sighup);
            return Commands.RUNNING;
        } catch (IOException e) {
            System.err.println("gatelock: " + e.getMessage());
            return Commands.UNUSABLE;
        }
    }

    private static PrintWriter writer(OutputStream out) {
        return new PrintWriter(out, true, Charset.defaultCharset());
    }

    private static void exitUnlessRunning(int exitCode) {
        if (exitCode != Commands.RUNNING) {
            System.exit(exitCode);
        }
    }
}
