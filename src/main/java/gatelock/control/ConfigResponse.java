package gatelock.control;

import gatelock.config.ConfigVersion;
import gatelock.state.UpstreamResponse;
import java.util.Optional;

/**
 * The headers of a control service's response that carries a version.
 *
 * @param version identifies the version in the body, with the hash computed from the received body
 * @param nonce identifies this response in the next request
 * @param claimedHash the hash that the service sent; null if it sent none
 */
record ConfigResponse(ConfigVersion version, String nonce, String claimedHash) {
    private static final int MAX_NONCE_LENGTH = 200;
    private static final String EPOCH_ID = "[A-Za-z0-9._-]{1,64}";

    /** Parses the headers; returns empty if the epoch, the version or the nonce is missing or malformed. */
    static Optional<ConfigResponse> parse(UpstreamResponse response) {
        String epochId = response.header("X-Plan-Epoch-Id");
        String nonce = response.header("X-Plan-Nonce");
        long epochStartedAtMs;
        long number;
        try {
            epochStartedAtMs = Long.parseLong(response.header("X-Plan-Epoch-Born"));
            number = Long.parseLong(response.header("X-Plan-Version"));
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
        if (epochId == null || !epochId.matches(EPOCH_ID) || epochStartedAtMs < 0) {
            return Optional.empty();
        }
        if (nonce == null || nonce.length() > MAX_NONCE_LENGTH || number < 1) {
            return Optional.empty();
        }
        ConfigVersion version = new ConfigVersion(
                new ConfigVersion.Epoch(epochStartedAtMs, epochId), number, ConfigVersion.hash(response.body()));
        return Optional.of(new ConfigResponse(version, nonce, response.header("X-Plan-Hash")));
    }

    /** Returns whether the body was corrupted in transit: its hash differs from the hash that the service sent. */
    boolean isDamaged() {
        return claimedHash != null && !claimedHash.equals(version.hash());
    }
}
