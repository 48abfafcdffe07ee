package gatelock.wire;

import gatelock.kept.UnitAnswer;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.Consumer;

/** Reads one HTTP/1.1 answer from the pieces in which it comes. */
final class AnswerReader {
    private static final int MOST_LINE = 16 * 1024;
    /** The most that any body may hold, in the protocol. */
    static final int MOST_BODY = 64 * 1024;

    private enum Part { STATUS, HEADERS, BODY, TO_THE_END, CHUNK_SIZE, CHUNK, CHUNK_END, TRAILERS, WHOLE }

    private final Consumer<byte[]> parts;
    private final ByteArrayOutputStream line = new ByteArrayOutputStream(128);
    private final ByteArrayOutputStream body = new ByteArrayOutputStream(512);
    private final List<String> headers = new ArrayList<>();
    private Part part = Part.STATUS;
    private int status;
    private boolean lasting;
    private long left;

    /** @param parts takes the body piece by piece as it comes; null: the body is held whole */
    AnswerReader(Consumer<byte[]> parts) {
        this.parts = parts;
    }

    boolean whole() {
        return part == Part.WHOLE;
    }

    /** Whether the connection may carry another call afterwards. */
    boolean lasting() {
        return lasting;
    }

    UnitAnswer answer() {
        return new UnitAnswer(status, headers, body.toByteArray());
    }

    /** Takes in what came, up to the end of the answer. */
    void read(ByteBuffer in) throws UnreadableAnswer {
        while (in.hasRemaining() && part != Part.WHOLE) {
            switch (part) {
                case BODY, TO_THE_END, CHUNK -> bytes(in);
                default -> {
                    byte b = in.get();
                    if (b == '\n') {
                        String text = line.toString(StandardCharsets.ISO_8859_1);
                        line.reset();
                        line(text.endsWith("\r") ? text.substring(0, text.length() - 1) : text);
                    } else if (line.size() >= MOST_LINE) {
                        throw new UnreadableAnswer("line too long");
                    } else {
                        line.write(b);
                    }
                }
            }
        }
    }

    /** The connection ended: that ends an answer which states no length. */
    void end() {
        if (part == Part.TO_THE_END) {
            part = Part.WHOLE;
        }
    }

    private void bytes(ByteBuffer in) throws UnreadableAnswer {
        byte[] some = new byte[(int) Math.min(left, in.remaining())];
        in.get(some);
        if (parts != null) {
            parts.accept(some);
        } else {
            if (body.size() + some.length > MOST_BODY) {
                throw new UnreadableAnswer("body too long");
            }
            body.writeBytes(some);
        }
        left -= some.length;
        if (left == 0) {
            part = part == Part.CHUNK ? Part.CHUNK_END : Part.WHOLE;
        }
    }

    private void line(String text) throws UnreadableAnswer {
        switch (part) {
            case STATUS -> statusLine(text);
            case HEADERS -> {
                if (text.isEmpty()) {
                    headersEnd();
                } else {
                    header(text);
                }
            }
            case CHUNK_SIZE -> {
                int end = text.indexOf(';');
                left = number(end < 0 ? text : text.substring(0, end), 16);
                part = left == 0 ? Part.TRAILERS : Part.CHUNK;
            }
            case CHUNK_END -> {
                if (!text.isEmpty()) {
                    throw new UnreadableAnswer("chunk longer than told");
                }
                part = Part.CHUNK_SIZE;
            }
            default -> part = text.isEmpty() ? Part.WHOLE : Part.TRAILERS;
        }
    }

    private void statusLine(String text) throws UnreadableAnswer {
        if (!text.startsWith("HTTP/1.") || text.length() < 12) {
            throw new UnreadableAnswer("no status line");
        }
        lasting = text.charAt(7) != '0';
        status = (int) number(text.substring(9, 12), 10);
        part = Part.HEADERS;
    }

    private void header(String text) throws UnreadableAnswer {
        int colon = text.indexOf(':');
        if (colon <= 0 || headers.size() > 200) {
            throw new UnreadableAnswer("no header, or too many");
        }
        headers.add(text.substring(0, colon));
        headers.add(text.substring(colon + 1).trim());
    }

    private void headersEnd() throws UnreadableAnswer {
        UnitAnswer so = new UnitAnswer(status, headers, null);
        if (status >= 100 && status < 200) {
            headers.clear();
            part = Part.STATUS;
            return;
        }
        String connection = so.header("Connection");
        if (connection != null) {
            String said = connection.toLowerCase(Locale.ROOT);
            lasting = said.contains("close") ? false : lasting || said.contains("keep-alive");
        }
        String coding = so.header("Transfer-Encoding");
        String length = so.header("Content-Length");
        if (status == 204 || status == 304) {
            part = Part.WHOLE;
        } else if (coding != null) {
            if (!coding.trim().equalsIgnoreCase("chunked")) {
                throw new UnreadableAnswer("unknown coding");
            }
            part = Part.CHUNK_SIZE;
        } else if (length != null) {
            left = number(length, 10);
            part = left == 0 ? Part.WHOLE : Part.BODY;
        } else {
            lasting = false;
            left = Long.MAX_VALUE;
            part = Part.TO_THE_END;
        }
    }

    private static long number(String text, int radix) throws UnreadableAnswer {
        try {
            long found = Long.parseLong(text.trim(), radix);
            if (found >= 0) {
                return found;
            }
        } catch (NumberFormatException e) {
            // falls through to the one message
        }
        throw new UnreadableAnswer("expected a number, found " + text);
    }
}
