package gatelock.api;

/** An endpoint's report of its own load; a value it does not give is NaN. */
public record LoadReport(double waiting) {

    /** No report came. */
    public static final LoadReport NONE = new LoadReport(Double.NaN);
}
