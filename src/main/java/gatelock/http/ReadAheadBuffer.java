package gatelock.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Arrays;
import org.xnio.conduits.StreamSourceConduit;

/** The bytes of one client that have been read from its socket but not consumed yet. It grows with what has arrived. */
final class ReadAheadBuffer {
    /** The maximum number of bytes, which is also the maximum length of a head. */
    static final int MAX_BYTES = 16 * 1024;

    /** The maximum number of line ends before a request line that are ignored; with more it is no request. */
    private static final int MAX_LEADING_LINE_END_BYTES = 64;

    private static final int INITIAL_BYTES = 512;
    private static final byte[] EMPTY = {};

    private byte[] bytes = EMPTY;
    private int start;
    private int end;
    /** The position up to which the bytes have been searched for the end of a head. */
    private int searched;

    private int leadingLineEndBytes;

    /** Returns the number of bytes. */
    int size() {
        return end - start;
    }

    /** Returns the memory that the bytes use, with what is reserved for the next ones. */
    int capacity() {
        return bytes.length;
    }

    /** Removes all bytes. */
    void clear() {
        consume(size());
    }

    /** Returns whether no more bytes can be read ahead. */
    boolean isFull() {
        return size() >= MAX_BYTES;
    }

    /**
     * Reads once, as many bytes as have arrived and as there is room for, of which there must be some.
     *
     * @return the number of bytes read, or -1 at the end of the stream
     */
    int readFrom(StreamSourceConduit source) throws IOException {
        makeRoom();
        int count = source.read(ByteBuffer.wrap(bytes, end, bytes.length - end));
        end += Math.max(0, count);
        return count;
    }

    private void makeRoom() {
        if (end < bytes.length) {
            return;
        }
        int capacity = Math.max(INITIAL_BYTES, Math.min(2 * size(), MAX_BYTES));
        byte[] larger = new byte[Math.max(capacity, size() + 1)];
        System.arraycopy(bytes, start, larger, 0, size());
        replace(larger, size());
    }

    private void replace(byte[] content, int length) {
        searched -= start;
        bytes = content;
        start = 0;
        end = length;
    }

    /** Puts bytes back in front of the others. */
    void unread(ByteBuffer returned) {
        int length = returned.remaining();
        byte[] joined = new byte[length + size()];
        returned.get(joined, 0, length);
        System.arraycopy(bytes, start, joined, length, size());
        replace(joined, joined.length);
        searched = 0;
    }

    /** Removes bytes from the front and puts them into a buffer; returns how many. */
    int drainTo(ByteBuffer target) {
        int count = Math.min(size(), target.remaining());
        target.put(bytes, start, count);
        consume(count);
        return count;
    }

    private void consume(int count) {
        start += count;
        searched = start;
        if (size() == 0) {
            bytes = EMPTY;
            start = 0;
            end = 0;
            searched = 0;
        }
    }

    /** Returns whether the head of a request has arrived completely. */
    boolean hasHead() {
        return findHeadEnd() >= 0;
    }

    /**
     * Removes and returns the head of a request from the front, up to and including the empty line at its end, or
     * returns null if it has not arrived completely. A few empty lines before the request line are dropped (RFC 9112,
     * 2.2).
     */
    byte[] takeHead() {
        int headEnd = findHeadEnd();
        if (headEnd < 0) {
            return null;
        }
        byte[] head = Arrays.copyOfRange(bytes, start, headEnd);
        leadingLineEndBytes = 0;
        consume(head.length);
        return head;
    }

    /** Returns the position behind the first empty line, or -1 if there is none yet. */
    private int findHeadEnd() {
        dropLeadingLineEnds();
        for (int i = Math.max(start, searched); i < end; i++) {
            if (bytes[i] == '\n' && isEmptyLineBefore(i)) {
                return i + 1;
            }
        }
        searched = end;
        return -1;
    }

    private void dropLeadingLineEnds() {
        while (size() > 0
                && leadingLineEndBytes < MAX_LEADING_LINE_END_BYTES
                && (bytes[start] == '\r' || bytes[start] == '\n')) {
            leadingLineEndBytes++;
            consume(1);
        }
    }

    private boolean isEmptyLineBefore(int lineFeed) {
        int last = lineFeed - 1;
        if (last >= start && bytes[last] == '\r') {
            last--;
        }
        return last < start || bytes[last] == '\n';
    }
}
