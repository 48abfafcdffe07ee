package gatelock.net;

import java.util.concurrent.CountDownLatch;

/** Delays an I/O thread, to simulate a slow machine. */
public final class DelayedIoThread {
    private DelayedIoThread() {}

    /**
     * Blocks the thread and returns once it is blocked. The thread continues when the returned latch is counted down.
     */
    public static CountDownLatch block(EventLoop eventLoop) throws InterruptedException {
        CountDownLatch blocked = new CountDownLatch(1);
        CountDownLatch release = new CountDownLatch(1);
        eventLoop.execute(() -> {
            blocked.countDown();
            try {
                release.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        blocked.await();
        return release;
    }
}
