package gatelock.net;

import java.util.concurrent.CountDownLatch;

/** An I/O thread that is late. */
public final class DelayedIoThread {
    private DelayedIoThread() {}

    /** Holds the thread up, and returns once it is; it goes on as soon as the latch is down. */
    public static CountDownLatch hold(EventLoop turn) throws InterruptedException {
        CountDownLatch held = new CountDownLatch(1);
        CountDownLatch on = new CountDownLatch(1);
        turn.soon(() -> {
            held.countDown();
            try {
                on.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        held.await();
        return on;
    }
}
