package gatelock.state;

/** Whoever waits for a request's answer, in whatever protocol it came; gets exactly one. */
public interface ResponseSink {

    /** Passes on what an endpoint answered. */
    void completed(UpstreamResponse answer);

    /** Not done, trying again is harmless, best after {@code pauseUs} (0: no advice). */
    void shed(long pauseUs);

    /** Errored, nothing promised. */
    void errored(boolean late);
}
