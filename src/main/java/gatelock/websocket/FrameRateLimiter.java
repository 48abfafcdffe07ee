package gatelock.websocket;

/** Limits the number of frames that a client may send in fixed windows of one second. */
final class FrameRateLimiter {
    private static final long WINDOW_US = 1_000_000;

    private final int maxFramesPerS;
    private long windowStartUs;
    private int framesInWindow;

    /** Creates a limiter for at most this many frames per second. */
    FrameRateLimiter(int maxFramesPerS) {
        this.maxFramesPerS = maxFramesPerS;
    }

    /** Counts a frame. Returns whether it is within the limit. */
    boolean tryAcquire(long nowUs) {
        if (nowUs - windowStartUs >= WINDOW_US) {
            windowStartUs = nowUs;
            framesInWindow = 0;
        }
        return ++framesInWindow <= maxFramesPerS;
    }
}
