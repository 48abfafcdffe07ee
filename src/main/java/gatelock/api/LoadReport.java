package gatelock.api;

/**
 * An endpoint's report of its own load.
 *
 * @param queuedRequests how many requests are queued there; NaN if the endpoint does not report it
 */
public record LoadReport(double queuedRequests) {

    /** Stands for an answer without a load report. */
    public static final LoadReport NONE = new LoadReport(Double.NaN);
}
