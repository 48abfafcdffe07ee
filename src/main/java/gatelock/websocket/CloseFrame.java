package gatelock.websocket;

import gatelock.session.CloseCodes;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * The body of a close frame (RFC 6455, 5.5.1).
 *
 * @param code the close code; {@link CloseCodes#NO_STATUS} if a received frame has none
 * @param reason the reason text; empty if there is none
 */
record CloseFrame(int code, String reason) {
    private static final int CODE_BYTES = 2;
    /** A received reason text that is longer than this is not forwarded. */
    private static final int MAX_REASON_BYTES = 120;

    /** Decodes a received body. A body of a single byte is malformed and is decoded as a protocol error. */
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

    /** Encodes the body. */
    ByteBuffer encode() {
        byte[] reasonBytes = reason.getBytes(StandardCharsets.UTF_8);
        return ByteBuffer.allocate(CODE_BYTES + reasonBytes.length)
                .putShort((short) code)
                .put(reasonBytes)
                .flip();
    }
}
