package gatelock.boot;

import gatelock.simulator.SimulatorHost;
import java.io.IOException;
import java.nio.file.Path;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Commands that run a relay, or the decisions of many. */
final class RelayCommands {

    private RelayCommands() {}

    /** Runs one relay. */
    @Command(name = "serve", description = "Runs one relay on the configuration that PROXY_CONFIG names.")
    static final class Serve extends OutputCommand {
        private static final String COLD = "cold";

        @Parameters(arity = "0..1", paramLabel = "cold", hidden = true)
        private String modeWord;

        @Option(names = "--cold", description = "without a rehearsal")
        private boolean cold;

        @Option(
                names = "--operator",
                paramLabel = "FILE",
                description = "the operator's own file; without it all that it names is off")
        private Path operatorFile;

        @Override
        public Integer call() throws UnusableInputException {
            if (modeWord != null && !modeWord.equals(COLD)) {
                throw new UnusableInputException("serve knows no " + modeWord);
            }
            boolean startCold = cold || modeWord != null;
            return Main.serve(startCold ? StartMode.COLD : StartMode.WARM, operatorFile);
        }
    }

    /** Warms up and ends. */
    @Command(
            name = "rehearse",
            description = "Rehearses on a free port and ends; the build learns from it which classes a relay needs.")
    static final class Rehearse extends OutputCommand {
        @Override
        public Integer call() {
            return Main.serve(StartMode.WARM_UP_ONLY, null);
        }
    }

    /** Hosts the decisions of many relays for the simulator. */
    @Command(name = "wirehost", description = "The decisions on the simulator's wire, on standard input and output.")
    static final class WireHost extends OutputCommand {
        @Override
        public Integer call() throws IOException {
            SimulatorHost.main(new String[0]);
            return Commands.GOOD;
        }
    }
}
