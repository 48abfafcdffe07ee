package gatelock.membership;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Locale;

/**
 * Compares algorithms for a relay's subset of the endpoints and measures the CPU time and memory of the subset. Not a
 * test: run by {@code make measure-membership}, which prints the tables of docs/measurements/membership.md. Arguments:
 * {@code options} compares the algorithms, {@code work [FILE [RUN]]} measures CPU time and memory and writes the slopes to
 * a file with the id of the run, {@code fit} measures the memory of a long list.
 */
public final class SubsetBenchmark {
    private SubsetBenchmark() {}

    /** Runs the benchmark that the first argument names; the default is {@code options}. */
    public static void main(String[] args) throws IOException {
        Locale.setDefault(Locale.ROOT);
        String command = args.length > 0 ? args[0] : "options";
        switch (command) {
            case "fit" -> SubsetCostBenchmark.printLongListMemory();
            case "work" -> {
                Path slopes = args.length > 1 ? Path.of(args[1]) : null;
                String run = args.length > 2 ? args[2] : "none";
                SubsetCostBenchmark.printWork(slopes, run);
            }
            default -> compareOptions();
        }
    }

    private static void compareOptions() {
        SubsetOptionsBenchmark.printEvenness();
        SubsetOptionsBenchmark.printWeights();
        SubsetOptionsBenchmark.printMovedConnections();
        SubsetZonesBenchmark.print();
        SubsetOptionsBenchmark.printReleaseStages();
    }
}
