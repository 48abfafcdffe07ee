package gatelock.standin;

import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;

/**
 * One side of a WebSocket connection, which writes and reads the frames of RFC 6455 itself, so that a test can also send
 * frames that violate the protocol. A client masks its frames, a server does not.
 */
public final class WebSocketPeer implements AutoCloseable {
    /** Opcode of a text frame. */
    public static final int TEXT = 1;
    /** Opcode of a binary frame. */
    public static final int BINARY = 2;
    /** Opcode of a close frame. */
    public static final int CLOSE = 8;
    /** Opcode of a ping. */
    public static final int PING = 9;
    /** Opcode of a pong. */
    public static final int PONG = 10;
    /** Bit in the first byte of a frame that marks the last frame of a message. */
    public static final int FINAL = 0x80;

    private static final int MASKED = 0x80;
    private static final int LENGTH_16_BITS = 126;
    private static final int LENGTH_64_BITS = 127;
    private static final byte[] MASK = {0x11, 0x22, 0x33, 0x44};
    private static final int TIMEOUT_MS = 20_000;
    /** The example key of RFC 6455, section 1.3. */
    private static final String KEY = "dGhlIHNhbXBsZSBub25jZQ==";

    /** The value of Sec-WebSocket-Accept for this key. */
    private static final String ACCEPT = "s3pPLMBiTxaQ9kYGzzhZRbK+xOo=";

    /** A frame that was read; opcode -1 stands for the end of the connection. */
    @SuppressWarnings("ArrayRecordComponent") // Frames are never compared, so equality by array identity has no effect.
    public record Frame(int opcode, byte[] body) {
        private static final int END = -1;
        private static final int NO_STATUS = 1005;

        /** Returns whether this stands for the end of the connection. */
        public boolean isEnd() {
            return opcode == END;
        }

        /** Returns the body as text. */
        public String text() {
            return new String(body, StandardCharsets.UTF_8);
        }

        /** Returns the code of a close frame, 1005 if it has none, or -1 for any other frame. */
        public int code() {
            if (opcode != CLOSE) {
                return -1;
            }
            return body.length < 2 ? NO_STATUS : ((body[0] & 0xff) << 8) | (body[1] & 0xff);
        }

        /** Returns the reason of a close frame. */
        public String reason() {
            return body.length < 2 ? "" : new String(body, 2, body.length - 2, StandardCharsets.UTF_8);
        }
    }

    /** A response other than 101 to an opening handshake; the message is its head. */
    public static final class HandshakeRejected extends IOException {
        private static final long serialVersionUID = 1L;

        HandshakeRejected(String head) {
            super(head);
        }
    }

    private final Socket socket;
    private final DataInputStream in;
    private final boolean masksFrames;

    /** Creates one side of a connection whose opening handshake is complete; a client masks its frames. */
    public WebSocketPeer(Socket socket, boolean masks) throws IOException {
        this.socket = socket;
        this.masksFrames = masks;
        this.in = new DataInputStream(socket.getInputStream());
    }

    /**
     * Opens a session as a client.
     *
     * @param headers additional headers, each of which ends with CR LF
     * @throws HandshakeRejected if the response is not 101
     */
    public static WebSocketPeer open(int port, String path, String traceId, String headers) throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
        socket.setSoTimeout(TIMEOUT_MS);
        socket.setTcpNoDelay(true);
        RawHttp.write(
                socket,
                "GET " + path + " HTTP/1.1\r\nHost: x\r\nX-Trace-Id: " + traceId
                        + "\r\nUpgrade: websocket\r\nConnection: Upgrade\r\nSec-WebSocket-Key: " + KEY
                        + "\r\nSec-WebSocket-Version: 13\r\n" + headers + "\r\n");
        HttpMessage response = RawHttp.readHead(socket);
        if (response == null) {
            socket.close();
            throw new EOFException("the connection ended before the response to the opening handshake");
        }
        if (!response.head().startsWith("HTTP/1.1 101")) {
            socket.close();
            throw new HandshakeRejected(response.head());
        }
        if (!ACCEPT.equals(response.header("Sec-WebSocket-Accept"))) {
            socket.close();
            throw new IOException("wrong or missing Sec-WebSocket-Accept: " + response.head());
        }
        return new WebSocketPeer(socket, true);
    }

    /** Sends a text message in one frame. */
    public void sendText(String text) throws IOException {
        sendFrame(FINAL | TEXT, text.getBytes(StandardCharsets.UTF_8));
    }

    /** Sends a close frame. */
    public void sendClose(int code, String reason) throws IOException {
        byte[] text = reason.getBytes(StandardCharsets.UTF_8);
        byte[] body = new byte[2 + text.length];
        body[0] = (byte) (code >> 8);
        body[1] = (byte) code;
        System.arraycopy(text, 0, body, 2, text.length);
        sendFrame(FINAL | CLOSE, body);
    }

    /**
     * Sends a frame.
     *
     * @param firstByte final bit, reserved bits and opcode
     */
    public void sendFrame(int firstByte, byte[] body) throws IOException {
        ByteArrayOutputStream frame = new ByteArrayOutputStream(body.length + 14);
        frame.write(firstByte);
        int maskBit = masksFrames ? MASKED : 0;
        if (body.length < LENGTH_16_BITS) {
            frame.write(maskBit | body.length);
        } else if (body.length < 65_536) {
            frame.write(maskBit | LENGTH_16_BITS);
            writeNumber(frame, body.length, 2);
        } else {
            frame.write(maskBit | LENGTH_64_BITS);
            writeNumber(frame, body.length, 8);
        }
        if (masksFrames) {
            frame.writeBytes(MASK);
            for (int i = 0; i < body.length; i++) {
                frame.write(body[i] ^ MASK[i % MASK.length]);
            }
        } else {
            frame.writeBytes(body);
        }
        socket.getOutputStream().write(frame.toByteArray());
        socket.getOutputStream().flush();
    }

    private static void writeNumber(ByteArrayOutputStream out, long number, int bytes) {
        for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8) {
            out.write((int) (number >> shift));
        }
    }

    /** Reads the next frame of any kind. */
    public Frame readFrame() throws IOException {
        try {
            int firstByte = in.readUnsignedByte();
            int secondByte = in.readUnsignedByte();
            byte[] body = new byte[(int) readLength(secondByte & 0x7f)];
            if ((secondByte & MASKED) == 0) {
                in.readFully(body);
            } else {
                byte[] mask = in.readNBytes(MASK.length);
                in.readFully(body);
                for (int i = 0; i < body.length; i++) {
                    body[i] ^= mask[i % mask.length];
                }
            }
            return new Frame(firstByte & 0x0f, body);
        } catch (EOFException | SocketException e) {
            return new Frame(Frame.END, new byte[0]);
        }
    }

    private long readLength(int lengthField) throws IOException {
        return switch (lengthField) {
            case LENGTH_16_BITS -> in.readUnsignedShort();
            case LENGTH_64_BITS -> in.readLong();
            default -> lengthField;
        };
    }

    /** Reads the next frame that is neither a ping nor a pong, and answers the pings before it. */
    public Frame readMessage() throws IOException {
        Frame frame = readFrame();
        while (frame.opcode == PING || frame.opcode == PONG) {
            if (frame.opcode == PING) {
                sendFrame(FINAL | PONG, frame.body);
            }
            frame = readFrame();
        }
        return frame;
    }

    /** Ends the connection without a close frame. */
    @Override
    public void close() throws IOException {
        socket.close();
    }
}
