package gatelock.net;

import java.lang.System.Logger.Level;
import java.nio.ByteBuffer;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;

/** The single I/O thread that runs all of the relay: its clock, its timers and its task queue. */
public final class EventLoop {
    private static final System.Logger LOG = System.getLogger("gatelock.net");
    private static final int READ_BUFFER_BYTES = 16 * 1024;

    private final XnioIoThread thread;
    private final long startNs = System.nanoTime();
    private final long startUs = System.currentTimeMillis() * 1000;
    private final ByteBuffer readBuffer = ByteBuffer.allocateDirect(READ_BUFFER_BYTES);

    /** Creates the loop of a thread that is already running. */
    public EventLoop(XnioIoThread thread) {
        this.thread = thread;
    }

    /** Returns the thread itself, on which connections are registered. */
    public XnioIoThread ioThread() {
        return thread;
    }

    /** Returns the time in microseconds since the epoch, read once at the start: it never goes back afterwards. */
    public long nowUs() {
        return startUs + (System.nanoTime() - startNs) / 1000;
    }

    /** Queues a task, which runs after those that are queued already; may be called from any thread. */
    public void execute(Runnable task) {
        thread.execute(() -> run(task));
    }

    /** Runs a task once this many microseconds have passed, rounded up to the thread's milliseconds. */
    public XnioExecutor.Key schedule(long delayUs, Runnable task) {
        long delayMs = (Math.max(0, delayUs) + 999) / 1000;
        return thread.executeAfter(() -> run(task), delayMs, TimeUnit.MILLISECONDS);
    }

    /**
     * Runs slow work on the worker's one task thread, and then its continuation on this thread.
     *
     * @param onError what the continuation receives where the work throws
     */
    public <T> void offload(Supplier<T> work, T onError, Consumer<T> continuation) {
        thread.getWorker().execute(() -> {
            T result = resultOf(work, onError);
            execute(() -> continuation.accept(result));
        });
    }

    private <T> T resultOf(Supplier<T> work, T onError) {
        try {
            return work.get();
        } catch (RuntimeException | Error e) {
            logUnexpected(e);
            return onError;
        }
    }

    /** Returns the shared buffer, empty; what is read into it must be consumed before the next read anywhere. */
    ByteBuffer readBuffer() {
        return readBuffer.clear();
    }

    /** Logs a defect that must not end the thread. */
    void logUnexpected(Throwable e) {
        LOG.log(Level.ERROR, "unexpected exception, continuing", e);
    }

    private void run(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException | AssertionError e) {
            logUnexpected(e);
        }
    }
}
