package gatelock.standin;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Plays each kind of {@link ClientPressure} on a relay process with the platform's flags and limits at the ends of their
 * ranges, and prints what was seen. Not a test: run by {@code make measure-pressure}. Arguments: seconds for each play,
 * seed, then the kinds to play (all if none is given). The property {@code cores} lets each relay run only for that part of
 * the time.
 */
public final class ClientPressurePlay {
    private static final int READY_MS = 30_000;
    private static final int ENDPOINTS = 8;
    private static final int WORK_MS = 100;

    /** The limits in the settings of a relay. */
    private record Limits(double cores, int memoryMb, int sockets) {}

    private static final List<Limits> LIMITS = List.of(
            new Limits(0.1, 32, 256), new Limits(0.1, 32, 1024), new Limits(1.0, 192, 256), new Limits(1.0, 192, 1024));

    private ClientPressurePlay() {}

    /** Plays and prints. */
    public static void main(String[] args) throws Exception {
        int seconds = Integer.parseInt(args[0]);
        long seed = Long.parseLong(args[1]);
        List<ClientPressure.Kind> kinds = new ArrayList<>();
        for (String name : List.of(args).subList(2, args.length)) {
            kinds.add(ClientPressure.Kind.valueOf(name));
        }
        for (ClientPressure.Kind kind : kinds.isEmpty() ? List.of(ClientPressure.Kind.values()) : kinds) {
            for (Limits limits : LIMITS) {
                play(kind, limits, seconds, seed);
            }
        }
        System.exit(0);
    }

    private static void play(ClientPressure.Kind kind, Limits limits, int seconds, long seed) throws Exception {
        Path directory = Files.createTempDirectory("pressure");
        try (FakeDeployment deployment = new FakeDeployment(ENDPOINTS, WORK_MS)) {
            int port = RelayProcess.freePort();
            String configuration = deployment
                    .configuration(Files.readString(Path.of("examples/relay.json")), "127.0.0.1:" + port)
                    .replaceFirst(
                            "\"limits\": \\{\"cores\"[^}]*\\}",
                            "\"limits\": {\"cores\": " + limits.cores + ", \"memory_mb\": " + limits.memoryMb
                                    + ", \"sockets\": " + limits.sockets + "}");
            try (RelayProcess relay = RelayProcess.start(directory, port, configuration)) {
                long readyMs = relay.awaitReadyMs(READY_MS);
                relay.limitTo(Double.parseDouble(System.getProperty("cores", "1")));
                double startMb = relay.residentMb();
                long startCpuUs = relay.cpuUs();
                ClientPressure.Outcome outcome = new ClientPressure(relay, deployment, seed).run(kind, seconds);
                String log = relay.log();
                System.out.printf(
                        "%s %s ready %d ms, resident %.0f MB at start, %.0f MB at most, cpu %d ms, %s"
                                + " OutOfMemory %d, stack traces %d%n",
                        kind,
                        limits,
                        readyMs,
                        startMb,
                        relay.peakResidentMb(),
                        (relay.cpuUs() - startCpuUs) / 1_000,
                        summary(outcome),
                        count(log, "OutOfMemoryError"),
                        count(log, "\tat gatelock"));
                Files.writeString(
                        Path.of("target", "pressure-" + kind + "-" + limits.memoryMb + "-" + limits.sockets + ".log"),
                        log);
            }
        }
    }

    private static String summary(ClientPressure.Outcome outcome) {
        return "asked " + outcome.asked() + ", unanswered " + outcome.unanswered() + ", worst " + outcome.worstMs()
                + " ms, sent after close " + outcome.sentAfterClose().size() + ", ran twice "
                + outcome.ranTwice().size() + ", kept waiting " + outcome.keptWaiting() + ", without id "
                + outcome.withoutId();
    }

    private static int count(String log, String text) {
        return log.split(java.util.regex.Pattern.quote(text), -1).length - 1;
    }
}
