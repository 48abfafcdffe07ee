package gatelock.fleet;

import com.fasterxml.jackson.databind.node.ObjectNode;
import gatelock.membership.EndpointSubset;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;

/**
 * Runs one step of the ladder and writes the results into docs/capacity/scale.json, each in place of the last one of
 * its kind: {@code STEP [PLAY|every] [all|scope|both] [RELAYS] [COMMIT] [HOLDERS]}. RELAYS: how many of the step's
 * relays are simulated; HOLDERS: relays that a subset wants to hold an endpoint.
 */
final class ScaleRun {
    private static final Path FILE = Path.of("docs/capacity/scale.json");
    private static final long SEED = 36;
    /** Heap that the decisions of one relay take for an endpoint that they hold, with a margin for all else. */
    private static final long BYTES_PER_HELD_ENDPOINT = 450;
    /** Share of the heap that the relays' endpoints may take. */
    private static final double RELAYS_HEAP_SHARE = 0.5;
    /** The heap may be half of the machine's memory, and so much more for rounding. */
    private static final double HEAP_TOLERANCE = 1.05;

    private static final int SHOWN_VIOLATIONS = 5;

    /** What the command line asks for; {@code relays} 0: all of the step's. */
    private record Options(
            ScaleStep step, List<FleetScenario> scenarios, List<String> modes, int relays, String commit, int holders) {
        static Options parse(String[] args) {
            String scenario = args.length > 1 ? args[1] : "every";
            String mode = args.length > 2 ? args[2] : ScaleResultsFile.MODE_ALL;
            return new Options(
                    ScaleStep.of(args[0]),
                    scenario.equals("every")
                            ? List.of(FleetScenario.values())
                            : List.of(FleetScenario.valueOf(scenario.toUpperCase(Locale.ROOT))),
                    mode.equals("both") ? ScaleResultsFile.MODES : List.of(mode),
                    args.length > 3 ? Integer.parseInt(args[3]) : 0,
                    args.length > 4 ? args[4] : "unknown",
                    args.length > 5 ? Integer.parseInt(args[5]) : EndpointSubset.DEFAULT_MIN_HOLDERS);
        }
    }

    private ScaleRun() {}

    /** Runs the scenarios and modes that are asked for, and prints and merges each result. */
    public static void main(String[] args) throws IOException {
        if (Runtime.getRuntime().maxMemory() > machineMemoryBytes() / 2.0 * HEAP_TOLERANCE) {
            throw new IllegalStateException("the heap is more than half of this machine's memory");
        }
        Options options = Options.parse(args);
        ScaleResultsFile file = new ScaleResultsFile(FILE);
        for (FleetScenario scenario : options.scenarios) {
            for (String mode : options.modes) {
                FleetScenario.Result result = scenario.run(options.step, parameters(options, mode), new CpuMeter(true));
                ObjectNode report = new ScaleReport(options.step, scenario, mode, result).json(options.commit);
                file.merge(options.step, report, options.commit);
                System.out.println(ScaleResultsFile.text(report));
                result.violations().stream()
                        .limit(SHOWN_VIOLATIONS)
                        .forEach(violation -> System.out.println("broken: " + violation));
            }
        }
    }

    /** As many of the step's relays as were asked for, and no more than fit into the heap. */
    private static FleetParameters parameters(Options options, String mode) {
        ScaleStep step = options.step;
        boolean subsetting = mode.equals(ScaleResultsFile.MODE_SUBSET);
        long subsetEndpoints = Math.max(
                (long) step.services() * new FleetParameters().endpointsPerService,
                (long) step.endpoints() * Math.min(step.relays(), options.holders) / step.relays());
        long heldEndpoints = subsetting ? Math.min(step.endpoints(), subsetEndpoints) : step.endpoints();
        long fittingRelays = (long) (Runtime.getRuntime().maxMemory() * RELAYS_HEAP_SHARE)
                / (heldEndpoints * BYTES_PER_HELD_ENDPOINT);
        int wantedRelays = options.relays > 0 ? options.relays : step.relays();
        FleetParameters parameters = step.parameters((int) Math.max(1, Math.min(wantedRelays, fittingRelays)), SEED);
        parameters.subsetting = subsetting;
        parameters.minHolders = options.holders;
        return parameters;
    }

    private static long machineMemoryBytes() {
        return ((com.sun.management.OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean())
                .getTotalMemorySize();
    }
}
