package gatelock.standin;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Guards against relays that outlive an interrupted run and send requests to the stand-ins of later ones. */
final class ChildProcessesTest {
    private static final int END_TIMEOUT_S = 10;

    /** A run that starts a process, prints its id and waits. */
    static final class InterruptedRun {
        private InterruptedRun() {}

        /** Starts a process that does nothing for a minute. */
        public static void main(String[] args) throws IOException, InterruptedException {
            System.out.println(
                    ChildProcesses.start(new ProcessBuilder("sleep", "60")).pid());
            TimeUnit.MINUTES.sleep(1);
        }
    }

    @Test
    void endsProcessesOfRunThatIsInterrupted() throws Exception {
        Process run = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-cp",
                        System.getProperty("java.class.path"),
                        InterruptedRun.class.getName())
                .start();
        String pid = run.inputReader(StandardCharsets.US_ASCII).readLine();
        CompletableFuture<ProcessHandle> ended =
                ProcessHandle.of(Long.parseLong(pid)).orElseThrow().onExit();
        run.destroy();
        assertThat(ended).succeedsWithin(END_TIMEOUT_S, TimeUnit.SECONDS);
    }
}
