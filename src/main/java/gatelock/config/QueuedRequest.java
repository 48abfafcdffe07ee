package gatelock.config;

/** Whoever brought a request, while its limits let it wait. */
public interface QueuedRequest {
    /** It may go on now. */
    void passes(long nowUs);

    /** It has waited too long, or another tenant's has taken its place: best after {@code pauseUs}. */
    void shed(long nowUs, long pauseUs);
}
