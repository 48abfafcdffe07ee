package gatelock.net;

import gatelock.state.UpstreamResponse;
import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.regex.Pattern;

/**
 * Reads one HTTP/1.1 answer from the pieces in which it comes; the one place where an answer's form is
 * checked.
 *
 * <p>Guards against answers that are noise, cut, without end or of two lengths, and should hold against any
 * that
 * leave open where they end: what can't be proven whole is unreadable. Could harm where an endpoint ends its
 * answers
 * with their connection, or has heads beyond {@link #MOST_HEAD}.
 */
public final class ResponseReader {
    /** All that may stand before a body, 1xx answers included; and any line later on. */
    private static final int MOST_HEAD = 16 * 1024;
    /** The most that any body may hold, in the protocol. */
    public static final int MOST_BODY = 64 * 1024;

    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.[01] [1-5][0-9][0-9]( .*)?", Pattern.DOTALL);

    private enum Part {
        STATUS,
        HEADERS,
        BODY,
        CHUNK_SIZE,
        CHUNK,
        CHUNK_END,
        TRAILERS,
        WHOLE
    }

    private final BodyConsumer parts;
    private final int mostBody;
    private final ByteArrayOutputStream line = new ByteArrayOutputStream(128);
    private final ByteArrayOutputStream body = new ByteArrayOutputStream(512);
    private final List<String> headers = new ArrayList<>();
    private Part part = Part.STATUS;
    private int status;
    private boolean lasting;
    private int headBytes;
    private long left;

    /**
     * @param parts takes the body piece by piece as it comes; null: the body is held whole
     * @param mostBody that a body held whole may have
     */
    ResponseReader(BodyConsumer parts, int mostBody) {
        this.parts = parts;
        this.mostBody = mostBody;
    }

    boolean whole() {
        return part == Part.WHOLE;
    }

    /** Whether the connection may carry another call afterwards. */
    boolean lasting() {
        return lasting;
    }

    UpstreamResponse answer() {
        return new UpstreamResponse(status, headers, body.toByteArray());
    }

    /** Takes in what came, up to the end of the answer. */
    void read(ByteBuffer in) throws MalformedResponseException {
        while (in.hasRemaining() && part != Part.WHOLE) {
            switch (part) {
                case BODY, CHUNK -> bytes(in);
                default -> {
                    byte b = in.get();
                    if (b == '\n') {
                        String text = line.toString(StandardCharsets.ISO_8859_1);
                        line.reset();
                        line(text.endsWith("\r") ? text.substring(0, text.length() - 1) : text);
                    } else if (headBytes++ >= MOST_HEAD) {
                        throw new MalformedResponseException("head or line too long");
                    } else {
                        line.write(b);
                    }
                }
            }
        }
    }

    private void bytes(ByteBuffer in) throws MalformedResponseException {
        byte[] some = new byte[(int) Math.min(left, in.remaining())];
        in.get(some);
        if (parts != null) {
            parts.take(some);
        } else {
            if (body.size() + some.length > mostBody) {
                throw new ResponseTooLongException("at least " + (body.size() + some.length), mostBody);
            }
            body.writeBytes(some);
        }
        left -= some.length;
        if (left == 0) {
            part = part == Part.CHUNK ? Part.CHUNK_END : Part.WHOLE;
        }
    }

    private void line(String text) throws MalformedResponseException {
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
                left = number(end < 0 ? text : text.substring(0, end).trim(), 16);
                headBytes = 0;
                part = left == 0 ? Part.TRAILERS : Part.CHUNK;
            }
            case CHUNK_END -> {
                if (!text.isEmpty()) {
                    throw new MalformedResponseException("chunk longer than told");
                }
                part = Part.CHUNK_SIZE;
            }
            default -> part = text.isEmpty() ? Part.WHOLE : Part.TRAILERS;
        }
    }

    private void statusLine(String text) throws MalformedResponseException {
        boolean form = STATUS_LINE.matcher(text).matches();
        status = form ? Integer.parseInt(text.substring(9, 12)) : 0;
        if (status < 100 || status == 101) {
            throw new MalformedResponseException("no status line, or another protocol");
        }
        lasting = text.charAt(7) == '1';
        part = Part.HEADERS;
    }

    /** Keeps a header; one that could mean something else to the next reader is left out. */
    private void header(String text) throws MalformedResponseException {
        int colon = text.indexOf(':');
        if (colon <= 0) {
            throw new MalformedResponseException("no header");
        }
        String name = text.substring(0, colon);
        String value = text.substring(colon + 1).trim();
        if (name.chars().allMatch(c -> c > ' ' && c < 127) && value.chars().allMatch(c -> c >= ' ' && c != 127)) {
            headers.add(name);
            headers.add(value);
        }
    }

    private void headersEnd() throws MalformedResponseException {
        if (status < 200) {
            headers.clear();
            part = Part.STATUS;
            return;
        }
        headBytes = 0;
        String connection = only("Connection");
        if (connection != null) {
            String said = connection.toLowerCase(Locale.ROOT);
            lasting = !said.contains("close") && (lasting || said.contains("keep-alive"));
        }
        String coding = only("Transfer-Encoding");
        String length = only("Content-Length");
        if (status == 204 || status == 304) {
            part = Part.WHOLE;
        } else if (coding == null == (length == null)) {
            throw new MalformedResponseException("no length, or two");
        } else if (coding != null) {
            if (!coding.equalsIgnoreCase("chunked")) {
                throw new MalformedResponseException("unknown coding");
            }
            part = Part.CHUNK_SIZE;
        } else {
            left = number(length, 10);
            part = left == 0 ? Part.WHOLE : Part.BODY;
        }
        if (parts != null) {
            parts.begins(status, coding == null ? left : -1);
        }
    }

    /**
     * The value of a header that may stand once only, or again with the same value; null where it is absent.
     */
    private String only(String name) throws MalformedResponseException {
        String found = null;
        for (int i = 0; i < headers.size(); i += 2) {
            if (headers.get(i).equalsIgnoreCase(name)) {
                if (found != null && !found.equals(headers.get(i + 1))) {
                    throw new MalformedResponseException("two values of " + name);
                }
                found = headers.get(i + 1);
            }
        }
        return found;
    }

    /** A length: digits only, and of a body held whole no more than it may have. */
    private long number(String text, int radix) throws MalformedResponseException {
        boolean form = text.length() <= 12
                && !text.isEmpty()
                && text.chars().allMatch(c -> c < 128 && Character.digit(c, radix) >= 0);
        long found = form ? Long.parseLong(text, radix) : -1;
        if (parts == null && found > mostBody) {
            throw new ResponseTooLongException((part == Part.CHUNK_SIZE ? "at least " : "") + found, mostBody);
        }
        if (found < 0) {
            throw new MalformedResponseException("expected a length, found " + text);
        }
        return found;
    }
}
