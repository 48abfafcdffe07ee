package gatelock.wire;

/** What came back does not read as HTTP, or as what was asked for. */
class MalformedResponseException extends Exception {
    private static final long serialVersionUID = 1L;

    MalformedResponseException(String message) {
        super(message);
    }
}
