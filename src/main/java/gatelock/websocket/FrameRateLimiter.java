package gatelock.websocket;

/** Counts the frames of a client in windows of one second. */
final class FrameRateLimiter {
    private static final long WINDOW_US = 1_000_000;

    private final int maxFramesPerS;
    private long windowStartUs;
    private int framesInWindow;

    FrameRateLimiter(int maxFramesPerS) {
        this.maxFramesPerS = maxFramesPerS;
    }

    /** Counts one frame; returns whether it is within the limit. */
    boolean tryAcquire(long nowUs) {
        if (nowUs - windowStartUs >= WINDOW_US) {
            windowStartUs = nowUs;
            framesInWindow = 0;
        }
        return ++framesInWindow <= maxFramesPerS;
    }
}
