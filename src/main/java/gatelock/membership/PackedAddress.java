package gatelock.membership;

/**
 * Packs an IPv4 address and port into six bytes. The {@link EndpointStore} uses this form for every address that
 * unpacks to exactly the original text; any other address (a host name, IPv6, numbers with leading zeros) is kept as
 * text.
 */
final class PackedAddress {
    /** Size of a packed address. */
    static final int BYTES = 6;

    /** Result of {@link #parse} for an address that has no packed form. */
    static final long NONE = -1;

    private static final int PORT_BITS = 16;
    private static final int OCTETS = 4;
    private static final int MAX_DIGITS = 5;
    private static final int MAX_OCTET = 255;
    private static final int MAX_PORT = 65_535;

    private PackedAddress() {}

    /** Returns the IP address in the upper 32 of 48 bits and the port in the lower 16, or {@link #NONE}. */
    static long parse(String address) {
        int ip = 0;
        int octets = 0;
        int digits = 0;
        long value = 0;
        for (int i = 0; i < address.length(); i++) {
            char c = address.charAt(i);
            boolean leadingZero = digits > 0 && value == 0;
            if (c >= '0' && c <= '9' && digits < MAX_DIGITS && !leadingZero) {
                value = value * 10 + c - '0';
                digits++;
                continue;
            }
            char separator = octets == OCTETS - 1 ? ':' : '.';
            if (c != separator || octets >= OCTETS || digits == 0 || value > MAX_OCTET) {
                return NONE;
            }
            ip = (ip << 8) | (int) value;
            octets++;
            digits = 0;
            value = 0;
        }
        if (octets < OCTETS || digits == 0 || value > MAX_PORT) {
            return NONE;
        }
        return ((ip & 0xffff_ffffL) << PORT_BITS) | value;
    }

    /** Writes a packed address as {@link #BYTES} bytes. */
    static void write(long packed, byte[] target, int from) {
        RecordLayout.INT.set(target, from, (int) (packed >>> PORT_BITS));
        target[from + 4] = (byte) (packed >> 8);
        target[from + 5] = (byte) packed;
    }

    /** Reads a packed address as the text it was parsed from. */
    static String read(byte[] source, int from) {
        StringBuilder text = new StringBuilder("255.255.255.255:65535".length());
        for (int i = 0; i < OCTETS; i++) {
            text.append(i == 0 ? "" : ".").append(source[from + i] & 0xff);
        }
        int port = ((source[from + 4] & 0xff) << 8) | (source[from + 5] & 0xff);
        return text.append(':').append(port).toString();
    }
}
