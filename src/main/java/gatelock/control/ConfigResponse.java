package gatelock.control;

import gatelock.config.ConfigVersion;
import gatelock.state.UpstreamResponse;
import java.util.Optional;

/**
 * The headers of a control service's response that carries a version.
 *
 * @param version which version the body is, with the hash of the body as it arrived
 * @param nonce names this response in the next request
 * @param claimedHash the hash that the service states; null where it states none
 */
record ConfigResponse(ConfigVersion version, String nonce, String claimedHash) {
    private static final int MAX_NONCE_LENGTH = 200;
    private static final String EPOCH_ID = "[A-Za-z0-9._-]{1,64}";

    /** Reads the headers; empty where one of epoch, version and nonce is missing or malformed. */
    static Optional<ConfigResponse> parse(UpstreamResponse response) {
        String epochId = response.header("X-Plan-Epoch-Id");
        String nonce = response.header("X-Plan-Nonce");
        long epochBorn;
        long number;
        try {
            epochBorn = Long.parseLong(response.header("X-Plan-Epoch-Born"));
            number = Long.parseLong(response.header("X-Plan-Version"));
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
        if (epochId == null || !epochId.matches(EPOCH_ID) || epochBorn < 0) {
            return Optional.empty();
        }
        if (nonce == null || nonce.length() > MAX_NONCE_LENGTH || number < 1) {
            return Optional.empty();
        }
        ConfigVersion version = new ConfigVersion(
                new ConfigVersion.Epoch(epochBorn, epochId), number, ConfigVersion.hash(response.body()));
        return Optional.of(new ConfigResponse(version, nonce, response.header("X-Plan-Hash")));
    }

    /** Whether the body is not the one that the service sent. */
    boolean damaged() {
        return claimedHash != null && !claimedHash.equals(version.hash());
    }
}
