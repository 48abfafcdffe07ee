package gatelock.membership;

import gatelock.api.Endpoint;
import java.lang.invoke.MethodHandles;
import java.lang.invoke.VarHandle;
import java.nio.ByteOrder;
import java.util.List;

/**
 * The binary layout of one endpoint's record in the {@link EndpointStore}. A record begins with two links of four bytes
 * (the next and the previous endpoint of the same service) and a byte of flags. These are followed by zone, name,
 * service number, build, instance type, cell, start time, address and, if there are any, the labels, encoded as
 * variable-length numbers and length-prefixed UTF-8 text. Records exist only in memory; they are never sent or written
 * to disk.
 */
final class RecordLayout {
    /** Reads and writes a big-endian {@code int} in a byte array. */
    static final VarHandle INT = MethodHandles.byteArrayViewVarHandle(int[].class, ByteOrder.BIG_ENDIAN);

    /** Offset of the handle of the next endpoint of the same service or, in a freed record, of the next free record. */
    static final int NEXT = 0;

    /** Offset of the handle of the previous endpoint of the same service. */
    static final int PREVIOUS = 4;

    /** Offset of the flags. */
    static final int FLAGS = 8;

    /** Offset of the first field after the flags. */
    static final int BODY = 9;

    /** Mask of the flag bits that hold the endpoint's health. */
    static final int HEALTH_MASK = 3;

    /** Flag that is set if the address is stored as {@link PackedAddress#BYTES} bytes instead of text. */
    static final int PACKED_ADDRESS = 4;

    /** Flag that is set if labels follow the address. */
    static final int HAS_LABELS = 8;

    /** Flag that is set if the start time is stored in milliseconds instead of microseconds. */
    static final int START_IN_MILLIS = 16;

    /** Microseconds in a millisecond, for {@link #START_IN_MILLIS}. */
    static final int MICROS_PER_MILLI = 1000;

    /** Health values, indexed by the flag bits that encode them. */
    private static final List<Endpoint.Health> HEALTH = List.of(Endpoint.Health.values());

    private RecordLayout() {}

    /** Returns the flag bits that encode a health. */
    static int encodeHealth(Endpoint.Health health) {
        return HEALTH.indexOf(health);
    }

    /** Returns the health that the flags of a record encode. */
    static Endpoint.Health decodeHealth(int flags) {
        return HEALTH.get(flags & HEALTH_MASK);
    }

    /** Maps a signed number to an unsigned one so that small negative and positive numbers are encoded in few bytes. */
    static long zigzag(long value) {
        return (value << 1) ^ (value >> 63);
    }

    /** Reverses {@link #zigzag}. */
    static long unzigzag(long value) {
        return (value >>> 1) ^ -(value & 1);
    }
}
