package gatelock.wire;

/** What came back does not read as HTTP, or as what was asked for. */
class UnreadableAnswer extends Exception {
    private static final long serialVersionUID = 1L;

    UnreadableAnswer(String message) {
        super(message);
    }
}
