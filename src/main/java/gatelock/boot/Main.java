package gatelock.boot;

import gatelock.bench.Wirehost;

import java.io.IOException;
import java.nio.file.Path;

/** The command line: {@code serve} runs one relay, {@code wirehost} the decisions on the simulator's wire. */
public final class Main {

    private Main() {
    }

    public static void main(String[] args) throws IOException {
        String what = args.length == 1 ? args[0] : "";
        switch (what) {
            case "serve" -> serve();
            case "wirehost" -> Wirehost.main(args);
            default -> give("expected one word: serve or wirehost");
        }
    }

    private static void serve() throws IOException {
        String file = System.getenv("PROXY_CONFIG");
        if (file == null) {
            give("PROXY_CONFIG names no configuration");
            return;
        }
        Configuration configuration;
        try {
            configuration = Configuration.read(Path.of(file));
        } catch (IOException | RuntimeException e) {
            give("configuration " + file + ": " + e.getMessage().lines().findFirst().orElse(""));
            return;
        }
        Service.start(configuration);
    }

    private static void give(String why) {
        System.err.println("gatelock: " + why);
        System.exit(2);
    }
}
