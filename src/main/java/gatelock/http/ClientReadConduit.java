package gatelock.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.conduits.AbstractStreamSourceConduit;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Reads the bytes of one client, below the conduits of Undertow. Reports each read that returned bytes, and can check
 * for unread bytes without losing them.
 */
final class ClientReadConduit extends AbstractStreamSourceConduit<StreamSourceConduit> {
    private static final int LOOKAHEAD_BYTES = 512;

    private final Runnable readListener;
    /** Bytes that have been read ahead but not consumed yet, or null. */
    private ByteBuffer lookahead;

    ClientReadConduit(StreamSourceConduit next, Runnable readListener) {
        super(next);
        this.readListener = readListener;
    }

    /**
     * Returns whether there are unread bytes. If so, they are returned by the next read, and the read listener of
     * Undertow is woken. The end of the stream and a broken connection count as no bytes.
     */
    boolean hasUnreadBytes() {
        if (lookahead != null) {
            return true;
        }
        ByteBuffer buffer = ByteBuffer.allocate(LOOKAHEAD_BYTES);
        try {
            if (next.read(buffer) <= 0) {
                return false;
            }
        } catch (IOException e) {
            return false;
        }
        lookahead = buffer.flip();
        next.wakeupReads();
        return true;
    }

    @Override
    public int read(ByteBuffer target) throws IOException {
        int count = lookahead != null && target.hasRemaining() ? readLookahead(target) : next.read(target);
        if (count > 0) {
            readListener.run();
        }
        return count;
    }

    private int readLookahead(ByteBuffer target) {
        int count = Math.min(lookahead.remaining(), target.remaining());
        target.put(target.position(), lookahead, lookahead.position(), count).position(target.position() + count);
        lookahead.position(lookahead.position() + count);
        if (!lookahead.hasRemaining()) {
            lookahead = null;
        }
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
    public long transferTo(long position, long count, FileChannel target) {
        throw new UnsupportedOperationException("transferring client data to a file is not supported");
    }

    @Override
    public long transferTo(long count, ByteBuffer throughBuffer, StreamSinkChannel target) {
        throw new UnsupportedOperationException("transferring client data to a channel is not supported");
    }
}
