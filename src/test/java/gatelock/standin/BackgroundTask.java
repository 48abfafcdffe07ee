package gatelock.standin;

/** Runs blocking work of a stand-in server on a thread of its own. */
public final class BackgroundTask {
    private BackgroundTask() {}

    /** Work that may fail. */
    @FunctionalInterface
    public interface Work {
        /** Does the work. */
        void run() throws Exception;
    }

    /**
     * Starts work on a daemon thread. Exceptions are ignored, because closing the server or the connection makes the
     * blocking calls fail.
     */
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
