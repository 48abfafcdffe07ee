package gatelock.boot;

/** Thrown for unusable input of a command; its message is shown to the user without a stack trace. */
final class UnusableInputException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Creates an exception with a message for the user. */
    UnusableInputException(String message) {
        super(message);
    }

    /** Creates an exception with a message for the user and its cause. */
    UnusableInputException(String message, Throwable cause) {
        super(message, cause);
    }
}
