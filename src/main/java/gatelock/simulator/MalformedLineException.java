package gatelock.simulator;

/** Input that is not in the simulator's line protocol; the message says what was expected. */
final class MalformedLineException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    MalformedLineException(String message) {
        super(message);
    }
}
