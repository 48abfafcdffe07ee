package gatelock.standin;

/** Runs blocking work of a stand-in beside a test. */
public final class BackgroundTask {
    private BackgroundTask() {}

    /** Work that may fail. */
    @FunctionalInterface
    public interface Work {
        /** Does the work. */
        void run() throws Exception;
    }

    /** Starts work on a daemon thread. It ends without notice when it fails, as its server or connection is closed. */
    public static void start(Work work) {
        Thread thread = new Thread(() -> {
            try {
                work.run();
            } catch (Exception e) {
                // The server or the connection was closed.
            }
        });
        thread.setDaemon(true);
        thread.start();
    }
}
