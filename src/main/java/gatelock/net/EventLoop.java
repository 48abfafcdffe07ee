package gatelock.net;

import java.lang.System.Logger.Level;
import java.nio.ByteBuffer;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;

/** The single I/O thread on which the relay runs, with its clock, timers and task queue. */
public final class EventLoop {
    private static final System.Logger LOG = System.getLogger("gatelock.net");
    private static final int READ_BUFFER_BYTES = 16 * 1024;

    private final XnioIoThread thread;
    private final long startNs = System.nanoTime();
    private final long startUs = System.currentTimeMillis() * 1000;
    private final ByteBuffer readBuffer = ByteBuffer.allocateDirect(READ_BUFFER_BYTES);

    /** Creates the event loop of a thread that is already running. */
    public EventLoop(XnioIoThread thread) {
        this.thread = thread;
    }

    /** Returns the underlying I/O thread, on which connections are registered. */
    public XnioIoThread ioThread() {
        return thread;
    }

    /**
     * Returns the time in microseconds since the epoch. The system clock is read only at the start, so the time never
     * goes back.
     */
    public long nowUs() {
        return startUs + (System.nanoTime() - startNs) / 1000;
    }

    /** Queues a task, which runs after those that are already queued. May be called from any thread. */
    public void execute(Runnable task) {
        thread.execute(() -> run(task));
    }

    /** Runs a task after a delay, which is rounded up to whole milliseconds. */
    public XnioExecutor.Key schedule(long delayUs, Runnable task) {
        long delayMs = (Math.max(0, delayUs) + 999) / 1000;
        return thread.executeAfter(() -> run(task), delayMs, TimeUnit.MILLISECONDS);
    }

    /**
     * Runs a task periodically, for the first time after one interval. It continues to run if it throws.
     *
     * @param intervalUs the time from the end of one run to the next, rounded up to whole milliseconds
     * @param task the task
     */
    public void scheduleRepeatedly(long intervalUs, Runnable task) {
        schedule(intervalUs, () -> {
            try {
                task.run();
            } finally {
                scheduleRepeatedly(intervalUs, task);
            }
        });
    }

    /**
     * Runs slow work on the single task thread of the worker, and then its continuation on the I/O thread.
     *
     * @param onError the result that the continuation receives if the work throws
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

    /**
     * Returns the shared read buffer, cleared. Data that is read into it must be consumed before the next read on any
     * connection.
     */
    ByteBuffer readBuffer() {
        return readBuffer.clear();
    }

    /** Logs an exception that indicates a defect, but must not end the thread. */
    public void logUnexpected(Throwable e) {
        LOG.log(Level.ERROR, "unexpected exception, continuing", e);
    }

    private void run(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException | Error e) {
            logUnexpected(e);
        }
    }
}
