package gatelock.standin;

import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * One side of a WebSocket connection, byte by byte as RFC 6455 has it, so that a test can also send what
 * nobody should. As a
 * client it masks its frames, as a server it does not.
 */
public final class WebSocketPeer implements AutoCloseable {
    public static final int TEXT = 1;
    public static final int BINARY = 2;
    public static final int CLOSE = 8;
    public static final int PING = 9;
    public static final int PONG = 10;

    /** One frame as it came; {@code opcode} -1: the connection ended. */
    public record Frame(int opcode, boolean last, byte[] body) {
        public String text() {
            return new String(body, StandardCharsets.UTF_8);
        }

        /** The code of a close, 1005 where it has none, or -1. */
        public int code() {
            return opcode != CLOSE ? -1 : body.length < 2 ? 1005 : (body[0] & 0xff) << 8 | body[1] & 0xff;
        }

        public String reason() {
            return body.length < 2 ? "" : new String(body, 2, body.length - 2, StandardCharsets.UTF_8);
        }
    }

    private final Socket socket;
    private final DataInputStream in;
    private final boolean masks;

    /** On a connection whose opening handshake is done. */
    public WebSocketPeer(Socket socket, boolean masks) throws IOException {
        this.socket = socket;
        this.masks = masks;
        this.in = new DataInputStream(socket.getInputStream());
    }

    /** Opens a session through a relay; an answer other than 101 is a {@link Refused}. */
    public static WebSocketPeer open(int port, String path, String id, String headers) throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
        socket.setSoTimeout(20_000);
        socket.setTcpNoDelay(true);
        socket.getOutputStream()
                .write(("GET " + path + " HTTP/1.1\r\nHost: x\r\nX-Trace-Id: " + id
                                + "\r\nUpgrade: websocket\r\n"
                                + "Connection: Upgrade\r\nSec-WebSocket-Key: "
                                + "dGhlIHNhbXBsZSBub25jZQ==\r\nSec-WebSocket-Version: 13\r\n" + headers
                                + "\r\n")
                        .getBytes(StandardCharsets.ISO_8859_1));
        WebSocketPeer tablet = new WebSocketPeer(socket, true);
        StringBuilder head = new StringBuilder();
        while (!head.toString().endsWith("\r\n\r\n")) {
            head.append((char) tablet.in.readByte());
        }
        if (!head.toString().startsWith("HTTP/1.1 101")) {
            socket.close();
            throw new Refused(head.toString());
        }
        // The example of RFC 6455, 1.3.
        if (!head.toString().contains("s3pPLMBiTxaQ9kYGzzhZRbK+xOo=")) {
            throw new IOException("a wrong accept: " + head);
        }
        return tablet;
    }

    /** A plain answer in place of a session. */
    public static final class Refused extends IOException {
        private static final long serialVersionUID = 1L;

        Refused(String head) {
            super(head);
        }
    }

    public void text(String text) throws IOException {
        frame(0x80 | TEXT, text.getBytes(StandardCharsets.UTF_8));
    }

    public void close(int code, String reason) throws IOException {
        byte[] words = reason.getBytes(StandardCharsets.UTF_8);
        byte[] body = new byte[2 + words.length];
        body[0] = (byte) (code >> 8);
        body[1] = (byte) code;
        System.arraycopy(words, 0, body, 2, words.length);
        frame(0x80 | CLOSE, body);
    }

    /** A frame whose first byte is given whole: last bit, reserved bits and opcode. */
    public void frame(int first, byte[] body) throws IOException {
        byte[] head = new byte[14];
        head[0] = (byte) first;
        int at = 2;
        if (body.length < 126) {
            head[1] = (byte) body.length;
        } else if (body.length < 65_536) {
            head[1] = 126;
            head[at++] = (byte) (body.length >> 8);
            head[at++] = (byte) body.length;
        } else {
            head[1] = 127;
            at += 4;
            for (int shift = 24; shift >= 0; shift -= 8) {
                head[at++] = (byte) (body.length >> shift);
            }
        }
        byte[] sent = body.clone();
        if (masks) {
            head[1] |= (byte) 0x80;
            for (int i = 0; i < 4; i++) {
                head[at++] = (byte) (0x11 * (i + 1));
            }
            for (int i = 0; i < sent.length; i++) {
                sent[i] ^= (byte) (0x11 * (i % 4 + 1));
            }
        }
        raw(Arrays.copyOf(head, at), sent);
    }

    public void raw(byte[]... parts) throws IOException {
        ByteArrayOutputStream whole = new ByteArrayOutputStream();
        for (byte[] part : parts) {
            whole.writeBytes(part);
        }
        OutputStream out = socket.getOutputStream();
        out.write(whole.toByteArray());
        out.flush();
    }

    /** The next frame of any kind. */
    public Frame next() throws IOException {
        try {
            int first = in.readUnsignedByte();
            int second = in.readUnsignedByte();
            long length = second & 0x7f;
            length = length == 126 ? in.readUnsignedShort() : length == 127 ? in.readLong() : length;
            byte[] mask = new byte[4];
            if ((second & 0x80) != 0) {
                in.readFully(mask);
            }
            byte[] body = new byte[(int) length];
            in.readFully(body);
            for (int i = 0; (second & 0x80) != 0 && i < body.length; i++) {
                body[i] ^= mask[i % 4];
            }
            return new Frame(first & 0x0f, (first & 0x80) != 0, body);
        } catch (EOFException | java.net.SocketException e) {
            return new Frame(-1, true, new byte[0]);
        }
    }

    /** The next frame that is no sign of life; pings are answered. */
    public Frame frame() throws IOException {
        Frame frame = next();
        while (frame.opcode == PING || frame.opcode == PONG) {
            if (frame.opcode == PING) {
                frame(0x80 | PONG, frame.body);
            }
            frame = next();
        }
        return frame;
    }

    public Socket socket() {
        return socket;
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
