package gatelock.boot;

import gatelock.simulator.SimulatorHost;
import java.io.IOException;
import java.nio.file.Path;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** The commands that run one relay, or host the decision engines of many. */
final class RelayCommands {

    private RelayCommands() {}

    /** Runs one relay. */
    @Command(name = "serve", description = "Runs one relay with the configuration file that PROXY_CONFIG names.")
    static final class Serve extends OutputCommand {
        private static final String COLD = "cold";

        @Parameters(arity = "0..1", paramLabel = "cold", hidden = true)
        private String modeArgument;

        @Option(names = "--cold", description = "start without the warm-up")
        private boolean cold;

        @Option(
                names = "--operator",
                paramLabel = "FILE",
                description = "the operator's file; without it all features that it configures are disabled")
        private Path operatorFile;

        @Override
        public Integer call() throws UnusableInputException {
            if (modeArgument != null && !modeArgument.equals(COLD)) {
                throw new UnusableInputException("expected serve or serve cold, found serve " + modeArgument);
            }
            boolean startCold = cold || modeArgument != null;
            return Main.serve(startCold ? StartMode.COLD : StartMode.WARM, operatorFile);
        }
    }

    /** Warms up and exits. */
    @Command(
            name = "rehearse",
            description = "Warms up on a free port and exits; the build records which Java classes a relay loads.")
    static final class Rehearse extends OutputCommand {
        @Override
        public Integer call() {
            return Main.serve(StartMode.WARM_UP_ONLY, null);
        }
    }

    /** Hosts the decision engines of many relays for the simulator. */
    @Command(name = "wirehost", description = "Hosts decision engines for the simulator on standard input and output.")
    static final class WireHost extends OutputCommand {
        @Override
        public Integer call() throws IOException {
            SimulatorHost.main(new String[0]);
            return Commands.EXIT_OK;
        }
    }
}
