package gatelock.membership;

import static gatelock.membership.RecordLayout.zigzag;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Map;
import java.util.TreeMap;

/** Encodes endpoint entries as records of the {@link RecordLayout}, in a buffer that is reused for each entry. */
final class RecordEncoder {
    private static final int INITIAL_BUFFER_BYTES = 256;
    /** Maximum length of a 64-bit number that is encoded with seven bits per byte. */
    private static final int MAX_NUMBER_BYTES = 10;

    private static final int MAX_QUOTED_NAME_CHARS = 64;

    private byte[] buffer = new byte[INITIAL_BUFFER_BYTES];
    private int length;

    /**
     * Returns the buffer, which holds the encoded record in its first {@link #length()} bytes. The content is valid
     * until the next call of {@link #encode}.
     */
    byte[] buffer() {
        return buffer;
    }

    /** Returns the length in bytes of the record that was encoded last. */
    int length() {
        return length;
    }

    /**
     * Encodes an entry. The caller sets the links of the record.
     *
     * @param name the entry's name as {@link #utf8} returns it
     * @param serviceNumber the number of the entry's service in the {@link ServiceTable}
     * @throws IllegalArgumentException if the record would not fit into a page
     */
    void encode(EndpointEntry entry, byte[] name, int serviceNumber) {
        length = RecordLayout.BODY;
        long packedAddress = PackedAddress.parse(entry.address());
        boolean startInMillis = entry.startedAtUs() % RecordLayout.MICROS_PER_MILLI == 0;
        buffer[RecordLayout.FLAGS] = flags(entry, packedAddress != PackedAddress.NONE, startInMillis);
        writeNumber(zigzag(entry.zone()));
        writeText(name);
        writeNumber(serviceNumber);
        writeNumber(zigzag(entry.build()));
        writeNumber(zigzag(entry.instanceType()));
        writeNumber(zigzag(entry.cell()));
        writeNumber(zigzag(startInMillis ? entry.startedAtUs() / RecordLayout.MICROS_PER_MILLI : entry.startedAtUs()));
        writeAddress(entry.address(), packedAddress);
        writeLabels(entry.labels());
        if (length > RecordArena.MAX_RECORD_BYTES) {
            throw new IllegalArgumentException("endpoint entry exceeds the maximum of " + RecordArena.MAX_RECORD_BYTES
                    + " bytes: " + length + " bytes for "
                    + entry.name()
                            .substring(
                                    0,
                                    Math.min(MAX_QUOTED_NAME_CHARS, entry.name().length())));
        }
    }

    /**
     * Encodes an endpoint's name as UTF-8.
     *
     * @throws IllegalArgumentException if the name has an unpaired surrogate: two such names could be encoded as the
     *     same bytes, so that one endpoint would replace the other
     */
    static byte[] utf8(String name) {
        byte[] bytes = name.getBytes(StandardCharsets.UTF_8);
        boolean hasSurrogate = name.chars().anyMatch(c -> c >= Character.MIN_SURROGATE && c <= Character.MAX_SURROGATE);
        if (hasSurrogate && !name.equals(new String(bytes, StandardCharsets.UTF_8))) {
            throw new IllegalArgumentException("endpoint name must be text, found an unpaired surrogate in " + name);
        }
        return bytes;
    }

    private static byte flags(EndpointEntry entry, boolean packedAddress, boolean startInMillis) {
        int flags = RecordLayout.encodeHealth(entry.health());
        if (packedAddress) {
            flags |= RecordLayout.PACKED_ADDRESS;
        }
        if (!entry.labels().isEmpty()) {
            flags |= RecordLayout.HAS_LABELS;
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
        ensureCapacity(PackedAddress.BYTES);
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
        ensureCapacity(bytes.length);
        System.arraycopy(bytes, 0, buffer, length, bytes.length);
        length += bytes.length;
    }

    private void writeNumber(long value) {
        ensureCapacity(MAX_NUMBER_BYTES);
        long left = value;
        while ((left & ~0x7fL) != 0) {
            buffer[length++] = (byte) (left | 0x80);
            left >>>= 7;
        }
        buffer[length++] = (byte) left;
    }

    private void ensureCapacity(int bytes) {
        if (length + bytes > buffer.length) {
            buffer = Arrays.copyOf(buffer, Math.max(length + bytes, buffer.length * 2));
        }
    }
}
