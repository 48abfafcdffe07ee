package gatelock.boot;

/** Input of a command that can't be used; its message is all that the user needs to read. */
final class UnusableInputException extends Exception {
    private static final long serialVersionUID = 1L;

    UnusableInputException(String message) {
        super(message);
    }

    UnusableInputException(String message, Throwable cause) {
        super(message, cause);
    }
}
