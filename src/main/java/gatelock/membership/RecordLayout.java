package gatelock.membership;

import gatelock.api.Endpoint;
import java.lang.invoke.MethodHandles;
import java.lang.invoke.VarHandle;
import java.nio.ByteOrder;
import java.util.List;

/**
 * The binary layout of one endpoint's record in the {@link EndpointStore}. A record begins with two links of four bytes
 * (the next and the previous endpoint of the same service) and a byte of flags. Then follow, as variable-length
 * numbers and length-prefixed UTF-8 text: zone, name, service number, build, kind, cell, start, address and, if there
 * are any, the labels. The layout exists in memory only; it is never sent or written to disk.
 */
final class RecordLayout {
    /** Reads and writes a big-endian {@code int} in a byte array. */
    static final VarHandle INT = MethodHandles.byteArrayViewVarHandle(int[].class, ByteOrder.BIG_ENDIAN);

    /** Offset of the place of the next endpoint of the same service; in a freed record the next freed one. */
    static final int NEXT = 0;

    /** Offset of the place of the previous endpoint of the same service. */
    static final int PREVIOUS = 4;

    /** Offset of the flags. */
    static final int FLAGS = 8;

    /** Offset of the first field after the flags. */
    static final int BODY = 9;

    /** The bits of the flags that hold the endpoint's health. */
    static final int HEALTH_MASK = 3;

    /** Set where the address is stored as {@link PackedAddress#BYTES} bytes instead of text. */
    static final int PACKED_ADDRESS = 4;

    /** Set where labels follow the address. */
    static final int LABELLED = 8;

    /** Set where the start is stored in milliseconds instead of microseconds. */
    static final int START_IN_MILLIS = 16;

    static final int MICROS_PER_MILLI = 1000;

    /** Health by the bits that stand for it. */
    private static final List<Endpoint.Health> HEALTH = List.of(Endpoint.Health.values());

    private RecordLayout() {}

    /** The bits of the flags for a health. */
    static int healthBits(Endpoint.Health health) {
        return HEALTH.indexOf(health);
    }

    /** The health that the flags of a record name. */
    static Endpoint.Health health(int flags) {
        return HEALTH.get(flags & HEALTH_MASK);
    }

    /** Maps a signed number to an unsigned one so that numbers near zero, also negative ones, take few bytes. */
    static long zigzag(long value) {
        return (value << 1) ^ (value >> 63);
    }

    /** The inverse of {@link #zigzag}. */
    static long unzigzag(long value) {
        return (value >>> 1) ^ -(value & 1);
    }
}
