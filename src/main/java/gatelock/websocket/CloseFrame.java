package gatelock.websocket;

import gatelock.session.CloseCodes;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * The body of a close frame (RFC 6455, 5.5.1).
 *
 * @param code the close code; {@link CloseCodes#NO_STATUS} where a received frame has none
 */
record CloseFrame(int code, String reason) {
    private static final int CODE_BYTES = 2;
    /** A received reason that is longer is not forwarded. */
    private static final int MAX_REASON_BYTES = 120;

    /** Reads a received body; one of a single byte is malformed and counts as a protocol error. */
    static CloseFrame decode(ByteBuffer body) {
        int code;
        if (body.remaining() >= CODE_BYTES) {
            code = body.getShort() & 0xffff;
        } else {
            code = body.remaining() == 0 ? CloseCodes.NO_STATUS : CloseCodes.PROTOCOL_ERROR;
        }
        String reason = StandardCharsets.UTF_8.decode(body).toString();
        boolean tooLong = reason.getBytes(StandardCharsets.UTF_8).length > MAX_REASON_BYTES;
        return new CloseFrame(code, tooLong ? "" : reason);
    }

    /** Returns the body as it is sent. */
    ByteBuffer encode() {
        byte[] reasonBytes = reason.getBytes(StandardCharsets.UTF_8);
        return ByteBuffer.allocate(CODE_BYTES + reasonBytes.length)
                .putShort((short) code)
                .put(reasonBytes)
                .flip();
    }
}
