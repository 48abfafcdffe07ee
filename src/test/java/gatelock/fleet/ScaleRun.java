package gatelock.fleet;

import com.fasterxml.jackson.databind.node.ObjectNode;
import gatelock.membership.EndpointSubset;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;

/**
 * Runs scenarios at one scale step and writes the results into docs/capacity/scale.json, where each replaces the
 * previous result of the same step, scenario and mode. Arguments: {@code STEP [PLAY|every] [all|scope|both] [RELAYS]
 * [COMMIT] [HOLDERS]}. PLAY is a scenario, {@code all} the full endpoint list and {@code scope} subsetting. RELAYS is
 * the number of the step's relays that are simulated. HOLDERS is the minimum for the mean number of relays that hold an
 * endpoint.
 */
final class ScaleRun {
    private static final Path RESULTS_FILE = Path.of("docs/capacity/scale.json");
    private static final long SEED = 36;
    /** Heap that one relay needs for each endpoint that it holds, with a margin for everything else. */
    private static final long BYTES_PER_HELD_ENDPOINT = 450;
    /** Share of the heap that the endpoints held by the relays may use. */
    private static final double RELAYS_HEAP_SHARE = 0.5;
    /** The maximum heap may be half of the machine's memory; this factor allows for rounding. */
    private static final double HEAP_TOLERANCE = 1.05;

    private static final int MAX_PRINTED_VIOLATIONS = 5;

    /** The command line options; {@code relays} is 0 if all relays of the step are to be simulated. */
    private record Options(
            ScaleStep step,
            List<FleetScenario> scenarios,
            List<String> modes,
            int relays,
            String commit,
            int minRelaysPerEndpoint) {
        static Options parse(String[] args) {
            String scenario = args.length > 1 ? args[1] : "every";
            String mode = args.length > 2 ? args[2] : ScaleResultsFile.MODE_FULL_LIST;
            return new Options(
                    ScaleStep.of(args[0]),
                    scenario.equals("every")
                            ? List.of(FleetScenario.values())
                            : List.of(FleetScenario.valueOf(scenario.toUpperCase(Locale.ROOT))),
                    mode.equals("both") ? ScaleResultsFile.MODES : List.of(mode),
                    args.length > 3 ? Integer.parseInt(args[3]) : 0,
                    args.length > 4 ? args[4] : "unknown",
                    args.length > 5 ? Integer.parseInt(args[5]) : EndpointSubset.DEFAULT_MIN_RELAYS_PER_ENDPOINT);
        }
    }

    private ScaleRun() {}

    /** Runs the selected scenarios and modes and prints and merges each result. */
    public static void main(String[] args) throws IOException {
        if (Runtime.getRuntime().maxMemory() > machineMemoryBytes() / 2.0 * HEAP_TOLERANCE) {
            throw new IllegalStateException("the maximum heap size is more than half of this machine's memory");
        }
        Options options = Options.parse(args);
        ScaleResultsFile file = new ScaleResultsFile(RESULTS_FILE);
        for (FleetScenario scenario : options.scenarios) {
            for (String mode : options.modes) {
                FleetScenario.Result result = scenario.run(options.step, parameters(options, mode), new CpuMeter(true));
                ObjectNode report = new ScaleReport(options.step, scenario, mode, result).json(options.commit);
                file.merge(options.step, report, options.commit);
                System.out.println(ScaleResultsFile.text(report));
                result.violations().stream()
                        .limit(MAX_PRINTED_VIOLATIONS)
                        .forEach(violation -> System.out.println("rule violation: " + violation));
            }
        }
    }

    /** Returns the parameters of a run with the requested number of relays, limited to what fits into the heap. */
    private static FleetParameters parameters(Options options, String mode) {
        ScaleStep step = options.step;
        boolean subsetting = mode.equals(ScaleResultsFile.MODE_SUBSET);
        long subsetEndpoints = Math.max(
                (long) step.services() * new FleetParameters().endpointsPerService,
                (long) step.endpoints() * Math.min(step.relays(), options.minRelaysPerEndpoint) / step.relays());
        long heldEndpoints = subsetting ? Math.min(step.endpoints(), subsetEndpoints) : step.endpoints();
        long maxRelays = (long) (Runtime.getRuntime().maxMemory() * RELAYS_HEAP_SHARE)
                / (heldEndpoints * BYTES_PER_HELD_ENDPOINT);
        int requestedRelays = options.relays > 0 ? options.relays : step.relays();
        FleetParameters parameters = step.parameters((int) Math.max(1, Math.min(requestedRelays, maxRelays)), SEED);
        parameters.subsetting = subsetting;
        parameters.minRelaysPerEndpoint = options.minRelaysPerEndpoint;
        return parameters;
    }

    private static long machineMemoryBytes() {
        return ((com.sun.management.OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean())
                .getTotalMemorySize();
    }
}
