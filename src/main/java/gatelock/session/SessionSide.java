package gatelock.session;

/** The two sides of a session. */
public enum SessionSide {
    /** The client that opened the session. */
    CLIENT,
    /** The endpoint at which the session was opened. */
    ENDPOINT;

    /** Returns the opposite side. */
    public SessionSide other() {
        return this == CLIENT ? ENDPOINT : CLIENT;
    }
}
