package gatelock.boot;

import gatelock.bench.Wirehost;

import java.io.IOException;
import java.nio.file.Path;
import java.util.logging.LogManager;

/**
 * The command line: {@code serve} runs one relay ({@code serve cold} without its rehearsal), {@code rehearse} the
 * rehearsal alone, for the build to learn which classes a relay needs, {@code wirehost} the decisions on the
 * simulator's wire.
 */
public final class Main {

    /** Keeps log lines going while the program takes leave: the usual one falls silent on SIGTERM at once. */
    public static final class StayingLog extends LogManager {
        @Override
        public void reset() {
            // nothing is let go of before the process ends
        }
    }

    private Main() {
    }

    public static void main(String[] args) throws IOException {
        System.setProperty("java.util.logging.manager", StayingLog.class.getName());
        switch (String.join(" ", args)) {
            case "serve" -> serve(Service.Start.REHEARSED);
            case "serve cold" -> serve(Service.Start.COLD);
            case "rehearse" -> serve(Service.Start.REHEARSAL_ONLY);
            case "wirehost" -> Wirehost.main(args);
            default -> give("expected serve, serve cold, rehearse or wirehost");
        }
    }

    private static void serve(Service.Start how) {
        String file = System.getenv("PROXY_CONFIG");
        if (file == null) {
            give("PROXY_CONFIG names no configuration");
            return;
        }
        // Until there is something to read anew for, a SIGHUP does nothing.
        Hangup.means(() -> { });
        Path path = Path.of(file);
        try {
            Service.start(path, Configuration.read(path), how);
        } catch (IOException e) {
            give(e.getMessage());
        }
    }

    private static void give(String why) {
        System.err.println("gatelock: " + why);
        System.exit(2);
    }
}
