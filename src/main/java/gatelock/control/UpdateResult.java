package gatelock.control;

import gatelock.config.Diagnostic;
import java.util.List;

/**
 * The outcome of offering one version to this relay, as it is reported to the control service.
 *
 * @param accepted whether the version is in force now (ACK) or was rejected (NACK)
 * @param answer the outcome in one word of the control protocol, such as {@code applied} or {@code refused}
 * @param diagnostics the findings on the version; empty where the order of versions decided alone
 * @param isNew whether this tells the service something that it could not know before
 */
record UpdateResult(boolean accepted, String answer, List<Diagnostic> diagnostics, boolean isNew) {

    static UpdateResult applied(List<Diagnostic> diagnostics) {
        return new UpdateResult(true, "applied", diagnostics, true);
    }

    static UpdateResult alreadyHeld() {
        return new UpdateResult(true, "held", List.of(), false);
    }

    static UpdateResult rejected(List<Diagnostic> diagnostics) {
        return new UpdateResult(false, "refused", diagnostics, true);
    }

    static UpdateResult rejectedBefore(List<Diagnostic> diagnostics) {
        return new UpdateResult(false, "refused-before", diagnostics, false);
    }

    /** The version was not looked at, because of its place among the versions that came before. */
    static UpdateResult outOfOrder(String answer) {
        return new UpdateResult(false, answer, List.of(), false);
    }
}
