package gatelock.boot;

import gatelock.simulator.SimulatorHost;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.logging.LogManager;

/** Where the program begins. */
public final class Main {

    /** Keeps log lines going while the program takes leave: the usual one falls silent on SIGTERM at once. */
    public static final class StayingLog extends LogManager {
        @Override
        public void reset() {
            // nothing is let go of before the process ends
        }
    }

    private Main() {}

    /**
     * The words with which the platform starts a relay go past the command line's library, which costs a
     * start at half a
     * core more than a tenth of a second.
     */
    public static void main(String[] args) throws IOException {
        System.setProperty("java.util.logging.manager", StayingLog.class.getName());
        // Else the libraries would start the logging library at every start, whether it is asked for or not.
        System.setProperty("org.jboss.logging.provider", "jdk");
        switch (String.join(" ", args)) {
            case "serve" -> end(serve(RelayService.Start.REHEARSED, null) ? -1 : Commands.UNUSABLE);
            case "serve cold" -> end(serve(RelayService.Start.COLD, null) ? -1 : Commands.UNUSABLE);
            case "rehearse" -> end(serve(RelayService.Start.REHEARSAL_ONLY, null) ? -1 : Commands.UNUSABLE);
            case "wirehost" -> SimulatorHost.main(args);
            default -> end(Commands.run(new PrintWriter(System.out, true), new PrintWriter(System.err, true), args));
        }
    }

    /** Starts a relay; tells whether it runs, or why not. */
    static boolean serve(RelayService.Start how, Path operatorsFile) {
        SighupHandler hangup = SighupHandler.taken();
        String file = System.getenv("PROXY_CONFIG");
        if (file == null) {
            System.err.println("gatelock: PROXY_CONFIG names no configuration");
            return false;
        }
        Path path = Path.of(file);
        try {
            RelayConfig told = RelayConfig.read(path);
            OperatorConfig operator = operatorsFile == null ? null : OperatorConfig.read(operatorsFile, told);
            RelayService.start(path, told, operatorsFile, operator, how, hangup);
            return true;
        } catch (IOException e) {
            System.err.println("gatelock: " + e.getMessage());
            return false;
        }
    }

    private static void end(int code) {
        if (code >= 0) {
            System.exit(code);
        }
    }
}
