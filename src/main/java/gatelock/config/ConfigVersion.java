package gatelock.config;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * Which version this is.
 *
 * @param epoch of the control service that numbered it
 * @param number goes up within an epoch, from 1
 * @param hash of the text, as hex digits (SHA-256)
 */
public record ConfigVersion(Epoch epoch, long number, String hash) {

    /**
     * One life of a control service, between two times at which it was built anew and began to count from 1.
     *
     * @param born when, in milliseconds of Unix time: of two, the later holds
     * @param id tells two apart that were born together; of these the greater holds
     */
    public record Epoch(long born, String id) implements Comparable<Epoch> {
        public static final Epoch NONE = new Epoch(0, "");

        @Override
        public int compareTo(Epoch other) {
            return born != other.born ? Long.compare(born, other.born) : id.compareTo(other.id);
        }

        @Override
        public String toString() {
            return born + "-" + id;
        }
    }

    public static String hash(byte[] text) {
        try {
            return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(text));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java has SHA-256", e);
        }
    }

    public static String hash(String text) {
        return hash(text.getBytes(StandardCharsets.UTF_8));
    }

    @Override
    public String toString() {
        return epoch + ":" + number;
    }
}
