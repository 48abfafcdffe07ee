package gatelock.config;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * Identifies one version of the configuration.
 *
 * @param epoch the incarnation of the control service that numbered the version
 * @param number the version's number, which increases from 1 within an epoch; gaps are allowed
 * @param hash SHA-256 of the version's text in hexadecimal
 */
public record ConfigVersion(Epoch epoch, long number, String hash) {

    /**
     * One incarnation of a control service. A service that is rebuilt begins a new epoch and numbers its versions from
     * 1 again. Epochs are ordered by start time and then by identifier, so that all relays prefer the same one.
     *
     * @param startedAtMs when the epoch began, in milliseconds of Unix time; a later epoch supersedes an earlier one
     * @param id distinguishes epochs that began at the same time; the greater identifier supersedes
     */
    public record Epoch(long startedAtMs, String id) implements Comparable<Epoch> {
        /** An epoch earlier than that of any control service, for documents that no service has numbered. */
        public static final Epoch NONE = new Epoch(0, "");

        @Override
        public int compareTo(Epoch other) {
            return startedAtMs != other.startedAtMs
                    ? Long.compare(startedAtMs, other.startedAtMs)
                    : id.compareTo(other.id);
        }

        @Override
        public String toString() {
            return startedAtMs + "-" + id;
        }
    }

    /** Returns the SHA-256 of a text in hexadecimal. */
    public static String hash(byte[] text) {
        try {
            return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(text));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform must support SHA-256", e);
        }
    }

    /** Returns the SHA-256 of a text's UTF-8 bytes in hexadecimal. */
    public static String hash(String text) {
        return hash(text.getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Returns whether this version supersedes the other: it has a later epoch, or the same epoch and a higher number.
     */
    boolean isAfter(ConfigVersion other) {
        int epochOrder = epoch.compareTo(other.epoch);
        return epochOrder > 0 || (epochOrder == 0 && number > other.number);
    }

    @Override
    public String toString() {
        return epoch + ":" + number;
    }
}
