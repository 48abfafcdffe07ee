package gatelock.membership;

import static gatelock.membership.RecordLayout.zigzag;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Map;
import java.util.TreeMap;

/** Encodes endpoint entries as records of the {@link RecordLayout}, in a buffer that is used again for each entry. */
final class RecordEncoder {
    private static final int INITIAL_BUFFER_BYTES = 256;
    /** The largest encoding of a 64-bit number with seven bits a byte. */
    private static final int MAX_NUMBER_BYTES = 10;

    private static final int MAX_QUOTED_NAME = 64;

    private byte[] buffer = new byte[INITIAL_BUFFER_BYTES];
    private int length;

    /** The encoded record in its first {@link #length()} bytes; valid until the next call of {@link #encode}. */
    byte[] buffer() {
        return buffer;
    }

    /** Length of the record that was encoded last, in bytes. */
    int length() {
        return length;
    }

    /**
     * Encodes an entry; its links are left to the caller.
     *
     * @param name the entry's name as {@link #utf8} returns it
     * @param serviceNumber the store's number of the entry's service
     * @throws IllegalArgumentException where the record would not fit into a page
     */
    void encode(EndpointEntry entry, byte[] name, int serviceNumber) {
        length = RecordLayout.BODY;
        long packedAddress = PackedAddress.parse(entry.address());
        boolean startInMillis = entry.startUs() % RecordLayout.MICROS_PER_MILLI == 0;
        buffer[RecordLayout.FLAGS] = flags(entry, packedAddress != PackedAddress.NONE, startInMillis);
        writeNumber(zigzag(entry.zone()));
        writeText(name);
        writeNumber(serviceNumber);
        writeNumber(zigzag(entry.build()));
        writeNumber(zigzag(entry.kind()));
        writeNumber(zigzag(entry.cell()));
        writeNumber(zigzag(startInMillis ? entry.startUs() / RecordLayout.MICROS_PER_MILLI : entry.startUs()));
        writeAddress(entry.address(), packedAddress);
        writeLabels(entry.labels());
        if (length > RecordArena.MAX_RECORD_BYTES) {
            throw new IllegalArgumentException("an endpoint's entry takes at most " + RecordArena.MAX_RECORD_BYTES
                    + " bytes, got " + length + " for "
                    + entry.name()
                            .substring(0, Math.min(MAX_QUOTED_NAME, entry.name().length())));
        }
    }

    /**
     * The bytes of an endpoint's name.
     *
     * @throws IllegalArgumentException for a name with half of a surrogate pair: two such names would be encoded as
     *     the same bytes and one endpoint would take the other's place
     */
    static byte[] utf8(String name) {
        byte[] bytes = name.getBytes(StandardCharsets.UTF_8);
        boolean hasSurrogate = name.chars().anyMatch(c -> c >= Character.MIN_SURROGATE && c <= Character.MAX_SURROGATE);
        if (hasSurrogate && !name.equals(new String(bytes, StandardCharsets.UTF_8))) {
            throw new IllegalArgumentException(
                    "an endpoint's name must be text, got half of a surrogate pair in " + name);
        }
        return bytes;
    }

    private static byte flags(EndpointEntry entry, boolean packedAddress, boolean startInMillis) {
        int flags = RecordLayout.healthBits(entry.health());
        if (packedAddress) {
            flags |= RecordLayout.PACKED_ADDRESS;
        }
        if (!entry.labels().isEmpty()) {
            flags |= RecordLayout.LABELLED;
        }
        if (startInMillis) {
            flags |= RecordLayout.START_IN_MILLIS;
        }
        return (byte) flags;
    }

    private void writeAddress(String address, long packedAddress) {
        if (packedAddress == PackedAddress.NONE) {
            writeText(address.getBytes(StandardCharsets.UTF_8));
            return;
        }
        ensureRoom(PackedAddress.BYTES);
        PackedAddress.write(packedAddress, buffer, length);
        length += PackedAddress.BYTES;
    }

    private void writeLabels(Map<String, String> labels) {
        if (labels.isEmpty()) {
            return;
        }
        writeNumber(labels.size());
        new TreeMap<>(labels).forEach((label, value) -> {
            writeText(label.getBytes(StandardCharsets.UTF_8));
            writeText(value.getBytes(StandardCharsets.UTF_8));
        });
    }

    private void writeText(byte[] bytes) {
        writeNumber(bytes.length);
        ensureRoom(bytes.length);
        System.arraycopy(bytes, 0, buffer, length, bytes.length);
        length += bytes.length;
    }

    private void writeNumber(long value) {
        ensureRoom(MAX_NUMBER_BYTES);
        long left = value;
        while ((left & ~0x7fL) != 0) {
            buffer[length++] = (byte) (left | 0x80);
            left >>>= 7;
        }
        buffer[length++] = (byte) left;
    }

    private void ensureRoom(int bytes) {
        if (length + bytes > buffer.length) {
            buffer = Arrays.copyOf(buffer, Math.max(length + bytes, buffer.length * 2));
        }
    }
}
