package gatelock.standin;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** System calls of a relay process that fail, by a library that is compiled with the C compiler of the machine. */
public final class SyscallFaults {
    /** The error numbers of Linux, which are the same on x86-64 and arm64. */
    public enum ErrorNumber {
        /** The file table of the system is full. */
        ENFILE(23),
        /** The local addresses or ports are used up. */
        EADDRNOTAVAIL(99),
        /** There is no route to the network. */
        ENETUNREACH(101),
        /** There is no memory for buffers. */
        ENOBUFS(105);

        private final int number;

        ErrorNumber(int number) {
            this.number = number;
        }
    }

    private static final Path SOURCE = Path.of("src/test/native/syscall_faults.c");
    private static final long COMPILE_TIMEOUT_S = 60;

    private final Path library;
    private final Path faultSwitch;

    /** Compiles the library into a directory. No call fails yet. */
    public SyscallFaults(Path directory) throws IOException, InterruptedException {
        library = directory.resolve("syscall_faults.so");
        faultSwitch = directory.resolve("faults");
        Process compiler = new ProcessBuilder(
                        "cc", "-shared", "-fPIC", "-o", library.toString(), SOURCE.toString(), "-ldl")
                .inheritIO()
                .start();
        if (!compiler.waitFor(COMPILE_TIMEOUT_S, TimeUnit.SECONDS) || compiler.exitValue() != 0) {
            throw new IOException("cc could not compile " + SOURCE);
        }
    }

    /** Returns the environment of a process whose calls may fail. */
    public Map<String, String> environment() {
        return Map.of("LD_PRELOAD", library.toString(), "FAULT_SWITCH", faultSwitch.toString());
    }

    /** Lets every {@code period}-th call of this name fail with an error number from now on. */
    public void fail(String call, ErrorNumber error, int period) throws IOException {
        Path next = faultSwitch.resolveSibling("faults.next");
        Files.writeString(next, call + " " + error.number + " " + period + "\n");
        Files.move(next, faultSwitch, StandardCopyOption.ATOMIC_MOVE);
    }

    /** Lets no call fail from now on. */
    public void end() throws IOException {
        Files.deleteIfExists(faultSwitch);
    }
}
