package gatelock.net;

import java.lang.System.Logger.Level;
import java.nio.ByteBuffer;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;

/** The one thread that does everything: its clock, its timers, and its queue of what is to be done next. */
public final class EventLoop {
    private static final System.Logger LOG = System.getLogger("gatelock.net");
    private static final int READ_BYTES = 16 * 1024;

    private final XnioIoThread thread;
    private final long startNs = System.nanoTime();
    private final long startUs = System.currentTimeMillis() * 1000;
    private final ByteBuffer reading = ByteBuffer.allocateDirect(READ_BYTES);

    public EventLoop(XnioIoThread thread) {
        this.thread = thread;
    }

    public XnioIoThread thread() {
        return thread;
    }

    /** Microseconds that never go back, starting from the clock that all machines read. */
    public long nowUs() {
        return startUs + (System.nanoTime() - startNs) / 1000;
    }

    /** Does this next, after what is being done now, in order. */
    public void soon(Runnable what) {
        thread.execute(() -> run(what));
    }

    /** Does this not before so many microseconds have passed; the thread's timers go by milliseconds. */
    public XnioExecutor.Key in(long us, Runnable what) {
        return thread.executeAfter(() -> run(what), (Math.max(0, us) + 999) / 1000, TimeUnit.MILLISECONDS);
    }

    /**
     * Does slow work on the worker's one task thread, and then what is to follow here, in any case: where the
     * work
     * throws, with what stands for its failure.
     */
    public <T> void aside(Supplier<T> slow, T otherwise, Consumer<T> then) {
        thread.getWorker().execute(() -> {
            T done = otherwise;
            try {
                done = slow.get();
            } catch (RuntimeException | Error e) {
                unexpected(e);
            }
            T told = done;
            soon(() -> then.accept(told));
        });
    }

    /** A buffer for one read; what is in it must be used before the next read anywhere. */
    ByteBuffer reading() {
        return reading.clear();
    }

    private void run(Runnable what) {
        try {
            what.run();
        } catch (RuntimeException | AssertionError e) {
            unexpected(e);
        }
    }

    void unexpected(Throwable e) {
        LOG.log(Level.ERROR, "unexpected, goes on", e);
    }
}
