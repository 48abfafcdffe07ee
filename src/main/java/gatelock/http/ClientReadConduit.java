package gatelock.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import org.xnio.IoUtils;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.conduits.AbstractStreamSourceConduit;
import org.xnio.conduits.ConduitReadableByteChannel;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Reads the bytes of one client, below the conduits of Undertow. Passes a head on only once it is complete, and keeps it
 * as the client wrote it; until then a slow client costs no more than the bytes that it has sent. Reads ahead while a
 * request waits for its response, which shows whether the client is still connected.
 */
final class ClientReadConduit extends AbstractStreamSourceConduit<StreamSourceConduit> {
    /**
     * The maximum number of reads from one client before the event loop handles others. It keeps a client that sends
     * faster than the relay reads from occupying the thread.
     */
    private static final int MAX_READS_PER_ROUND = 4;

    private final Runnable readListener;
    private final RequestMemory memory;
    private final ReadAheadBuffer unread = new ReadAheadBuffer();
    /** Whether the next bytes are those of a head that has not arrived completely. */
    private boolean awaitsHead = true;

    private boolean upgraded;
    /** Whether the head that is awaited is refused, because there is no memory for it. */
    private boolean headRefused;
    /** The end of the stream, or a broken connection, has been read. */
    private boolean ended;
    /** Whether reads are paused, and whether the reader wants to be called for bytes that arrive. */
    private boolean paused;

    private boolean readsResumed;
    /** The head of the current request. */
    private RequestHead head;
    /** What is left to pass on of the current head. */
    private ByteBuffer headForParser = ByteBuffer.allocate(0);

    /** Creates a conduit for a new connection, on which a head comes first. */
    ClientReadConduit(StreamSourceConduit next, RequestMemory memory, Runnable readListener) {
        super(next);
        this.memory = memory;
        this.readListener = readListener;
    }

    /** Returns the memory that is held for the current request. */
    RequestMemory memory() {
        return memory;
    }

    /** Returns the head of the current request; one that is longer than the relay accepts is not well-formed. */
    RequestHead head() {
        return head;
    }

    /** Expects the head of the next request, unless the connection was upgraded to another protocol. */
    void awaitHead() {
        awaitsHead = !upgraded;
        head = null;
        memory.release();
    }

    /** Lets the reader wait for further bytes, whether or not they have arrived. */
    void pause() {
        paused = true;
    }

    /** Ends a pause. */
    void endPause() {
        paused = false;
        if (readsResumed && !ended) {
            resumeReads();
        }
    }

    /** Passes on all further bytes as they are. */
    void upgrade() {
        upgraded = true;
    }

    /** Returns whether bytes have been read that nobody has consumed. */
    boolean hasBufferedBytes() {
        return headForParser.hasRemaining() || unread.size() > 0;
    }

    /** Puts back bytes that belong to the next request. */
    void unread(ByteBuffer bytes) {
        unread.unread(bytes);
    }

    /**
     * Returns whether bytes have arrived that were not offered to the reader, and wakes it for them. The end of the
     * stream and a broken connection count as no bytes.
     */
    boolean hasUnreadBytes() {
        int sizeBefore = unread.size();
        readAhead();
        if (unread.size() > sizeBefore || hasBytesForReader()) {
            next.wakeupReads();
            return true;
        }
        return false;
    }

    /** Returns whether a read returns bytes without reading from the socket. */
    private boolean hasBytesForReader() {
        return awaitsHead ? unread.hasHead() : hasBufferedBytes();
    }

    /** Reads ahead what has arrived, and returns whether the client is still connected. */
    ClientPresence readAhead() {
        try {
            while (!ended && !unread.isFull() && readOnce() > 0) {
                // Until all bytes that have arrived are read, the end of the stream is not seen.
            }
        } catch (IOException e) {
            ended = true;
        }
        if (ended) {
            return ClientPresence.LEFT;
        }
        return unread.isFull() ? ClientPresence.UNKNOWN : ClientPresence.CONNECTED;
    }

    private int readOnce() throws IOException {
        int count = unread.readFrom(next);
        if (count > 0) {
            readListener.run();
        } else if (count < 0) {
            ended = true;
        }
        return count;
    }

    @Override
    public int read(ByteBuffer target) throws IOException {
        if (!target.hasRemaining() || paused) {
            return 0;
        }
        if (awaitsHead && !readHead()) {
            return ended ? -1 : 0;
        }
        if (headForParser.hasRemaining()) {
            return drainHeadTo(target);
        }
        if (unread.size() > 0) {
            return unread.drainTo(target);
        }
        if (ended) {
            return -1;
        }
        int count = next.read(target);
        if (count > 0) {
            readListener.run();
        }
        return count;
    }

    /** Reads until the head is complete or too long, and returns whether it is. */
    private boolean readHead() throws IOException {
        byte[] bytes = unread.takeHead();
        boolean mayHaveMore = !ended;
        for (int reads = 0; mayReadHead(bytes) && mayHaveMore && reads < MAX_READS_PER_ROUND; reads++) {
            mayHaveMore = readOnce() > 0;
            bytes = unread.takeHead();
            headRefused = headRefused || (bytes == null && !holdIncompleteHead());
        }
        if (mayReadHead(bytes)) {
            return false;
        }
        awaitsHead = false;
        head = toHead(bytes);
        headForParser = ByteBuffer.wrap(head.forParser());
        return true;
    }

    private boolean mayReadHead(byte[] completeHead) {
        return completeHead == null && !unread.isFull() && !headRefused;
    }

    private boolean holdIncompleteHead() {
        return memory.holdIncompleteHead(unread.capacity(), this::refuseHead);
    }

    /** Ends a head that has not arrived completely, because its memory is needed for others. */
    private void refuseHead() {
        headRefused = true;
        unread.clear();
        next.wakeupReads();
    }

    private RequestHead toHead(byte[] bytes) {
        boolean refused = headRefused || (bytes != null && !memory.holdHead(bytes));
        headRefused = false;
        if (refused) {
            unread.clear();
            memory.release();
            return RequestHead.refused();
        }
        return new RequestHead(bytes == null ? new byte[0] : bytes);
    }

    private int drainHeadTo(ByteBuffer target) {
        int count = Math.min(headForParser.remaining(), target.remaining());
        target.put(target.position(), headForParser, headForParser.position(), count);
        target.position(target.position() + count);
        headForParser.position(headForParser.position() + count);
        return count;
    }

    @Override
    public long read(ByteBuffer[] targets, int offset, int length) throws IOException {
        for (int i = offset; i < offset + length; i++) {
            if (targets[i].hasRemaining()) {
                return read(targets[i]);
            }
        }
        return 0;
    }

    @Override
    public void suspendReads() {
        readsResumed = false;
        next.suspendReads();
    }

    @Override
    public void resumeReads() {
        readsResumed = true;
        if (paused) {
            next.suspendReads();
            return;
        }
        // The socket does not report bytes that have been read from it already.
        if (hasBytesForReader()) {
            next.wakeupReads();
        } else {
            next.resumeReads();
        }
    }

    @Override
    public long transferTo(long position, long count, FileChannel target) throws IOException {
        return target.transferFrom(new ConduitReadableByteChannel(this), position, count);
    }

    @Override
    public long transferTo(long count, ByteBuffer throughBuffer, StreamSinkChannel target) throws IOException {
        return IoUtils.transfer(new ConduitReadableByteChannel(this), count, throughBuffer, target);
    }
}
