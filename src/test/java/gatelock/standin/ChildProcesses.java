package gatelock.standin;

import java.io.IOException;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Starts processes that end with this one. A relay that outlives the run that started it goes on polling the ports of its
 * stand-ins, which later runs may get for theirs.
 */
final class ChildProcesses {
    private static final Set<Process> RUNNING = ConcurrentHashMap.newKeySet();

    static {
        Runtime.getRuntime().addShutdownHook(new Thread(() -> RUNNING.forEach(Process::destroyForcibly)));
    }

    private ChildProcesses() {}

    /** Starts a process. */
    static Process start(ProcessBuilder builder) throws IOException {
        Process process = builder.start();
        RUNNING.add(process);
        var unused = process.onExit().thenAccept(RUNNING::remove);
        return process;
    }
}
