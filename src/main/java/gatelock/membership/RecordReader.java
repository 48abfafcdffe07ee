package gatelock.membership;

import static gatelock.membership.RecordLayout.unzigzag;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Map;
import java.util.TreeMap;

/**
 * Reads one record of the {@link RecordLayout}. An instance may be used for only one method call, because reading
 * advances its position.
 */
final class RecordReader {
    private final byte[] page;
    private final int start;
    private int position;

    /**
     * Creates a reader.
     *
     * @param page the page that holds the record
     * @param start offset of the record in the page
     */
    RecordReader(byte[] page, int start) {
        this.page = page;
        this.start = start;
        position = start + RecordLayout.BODY;
    }

    /** Reads the endpoint's zone. */
    int zone() {
        return (int) unzigzag(readNumber());
    }

    /** Reads the endpoint's name. */
    String name() {
        readNumber();
        return readText();
    }

    /** Computes the hash of the endpoint's name. */
    long nameHash(RendezvousRanking ranking) {
        readNumber();
        int length = (int) readNumber();
        return ranking.hash(page, position, length);
    }

    /** Returns whether the endpoint has this name, given as UTF-8. */
    boolean hasName(byte[] name) {
        readNumber();
        int length = (int) readNumber();
        return Arrays.equals(page, position, position + length, name, 0, name.length);
    }

    /** Reads the number of the endpoint's service in the {@link ServiceTable}. */
    int serviceNumber() {
        readNumber();
        skipText();
        return (int) readNumber();
    }

    /** Computes the length of the record in bytes. */
    int length() {
        serviceNumber();
        for (int field = 0; field < 4; field++) { // build, instance type, cell, start
            readNumber();
        }
        if (hasFlag(RecordLayout.PACKED_ADDRESS)) {
            position += PackedAddress.BYTES;
        } else {
            skipText();
        }
        if (hasFlag(RecordLayout.HAS_LABELS)) {
            for (long texts = 2 * readNumber(); texts > 0; texts--) {
                skipText();
            }
        }
        return position - start;
    }

    /** Decodes the whole entry. */
    EndpointEntry entry(ServiceTable services) {
        int zone = (int) unzigzag(readNumber());
        String name = readText();
        String service = services.endpointList((int) readNumber()).service;
        int build = (int) unzigzag(readNumber());
        int instanceType = (int) unzigzag(readNumber());
        int cell = (int) unzigzag(readNumber());
        long start = unzigzag(readNumber());
        long startedAtUs = hasFlag(RecordLayout.START_IN_MILLIS) ? start * RecordLayout.MICROS_PER_MILLI : start;
        String address = readAddress();
        Map<String, String> labels = readLabels();
        return new EndpointEntry(
                name,
                service,
                address,
                zone,
                instanceType,
                cell,
                build,
                RecordLayout.decodeHealth(flags()),
                startedAtUs,
                labels);
    }

    private String readAddress() {
        if (!hasFlag(RecordLayout.PACKED_ADDRESS)) {
            return readText();
        }
        String address = PackedAddress.read(page, position);
        position += PackedAddress.BYTES;
        return address;
    }

    private Map<String, String> readLabels() {
        if (!hasFlag(RecordLayout.HAS_LABELS)) {
            return Map.of();
        }
        Map<String, String> labels = new TreeMap<>();
        for (long count = readNumber(); count > 0; count--) {
            String label = readText();
            labels.put(label, readText());
        }
        return labels;
    }

    private int flags() {
        return page[start + RecordLayout.FLAGS];
    }

    private boolean hasFlag(int flag) {
        return (flags() & flag) != 0;
    }

    private long readNumber() {
        long value = 0;
        int shift = 0;
        while (page[position] < 0) {
            value |= (page[position++] & 0x7fL) << shift;
            shift += 7;
        }
        return value | ((long) page[position++] << shift);
    }

    private String readText() {
        int length = (int) readNumber();
        position += length;
        return new String(page, position - length, length, StandardCharsets.UTF_8);
    }

    private void skipText() {
        int length = (int) readNumber();
        position += length;
    }
}
