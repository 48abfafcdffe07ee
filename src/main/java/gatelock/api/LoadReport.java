package gatelock.api;

/**
 * An endpoint's report of its own load.
 *
 * @param queuedRequests how many requests are queued there; NaN if the endpoint does not report it
 */
public record LoadReport(double queuedRequests) {

    /** The report of an answer that contains no load report. */
    public static final LoadReport NONE = new LoadReport(Double.NaN);
}
