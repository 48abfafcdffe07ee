package gatelock.simulator;

/** Thrown for input that violates the simulator's line protocol; the message states what was expected. */
final class MalformedLineException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** Creates an exception whose message states what was expected and found. */
    MalformedLineException(String message) {
        super(message);
    }
}
