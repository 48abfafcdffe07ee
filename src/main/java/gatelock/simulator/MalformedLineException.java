package gatelock.simulator;

/** Input that does not read as the wire; the message says what was expected. */
public final class MalformedLineException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    MalformedLineException(String message) {
        super(message);
    }
}
