package gatelock.relay;

/** A unit's report of its own load; a value it does not give is NaN. */
public record Load(double waiting) {

    /** No report came. */
    public static final Load NONE = new Load(Double.NaN);
}
