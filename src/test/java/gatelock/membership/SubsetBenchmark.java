package gatelock.membership;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Locale;

/**
 * Compares options for a relay's subset of the endpoints and measures what the subset costs. Not a test: run by
 * {@code make measure-membership}, which prints the tables of docs/measurements/membership.md. Arguments:
 * {@code options} compares, {@code work [FILE [RUN]]} measures and writes the slopes to a file with the id of the run,
 * {@code fit} measures the memory of a long list.
 */
public final class SubsetBenchmark {
    private SubsetBenchmark() {}

    /** Runs one of the benchmarks, {@code options} where none is named. */
    public static void main(String[] args) throws IOException {
        Locale.setDefault(Locale.ROOT);
        String command = args.length > 0 ? args[0] : "options";
        switch (command) {
            case "fit" -> SubsetCostBenchmark.printFit();
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
