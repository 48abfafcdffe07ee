package gatelock.control;

import gatelock.config.Diagnostic;
import java.util.List;

/**
 * The result of offering a version to this relay, as reported to the control service.
 *
 * @param accepted true if the version is the accepted one (ACK), false if it was rejected (NACK)
 * @param answer the result as a keyword of the control protocol, such as {@code applied} or {@code refused}
 * @param diagnostics the diagnostics of the version; empty if the order of versions alone decided
 * @param isNew whether the result tells the control service something that it does not know yet
 */
record UpdateResult(boolean accepted, String answer, List<Diagnostic> diagnostics, boolean isNew) {

    /** The version was compiled and applied. */
    static UpdateResult applied(List<Diagnostic> diagnostics) {
        return new UpdateResult(true, "applied", diagnostics, true);
    }

    /** The version is already the latest accepted one. */
    static UpdateResult alreadyHeld() {
        return new UpdateResult(true, "held", List.of(), false);
    }

    /** The version was rejected because of the diagnostics. */
    static UpdateResult rejected(List<Diagnostic> diagnostics) {
        return new UpdateResult(false, "refused", diagnostics, true);
    }

    /** The same text was rejected before, with the given diagnostics, and was not compiled again. */
    static UpdateResult rejectedBefore(List<Diagnostic> diagnostics) {
        return new UpdateResult(false, "refused-before", diagnostics, false);
    }

    /** The version was not applied because of its order relative to the accepted versions, or because one is pinned. */
    static UpdateResult outOfOrder(String answer) {
        return new UpdateResult(false, answer, List.of(), false);
    }
}
