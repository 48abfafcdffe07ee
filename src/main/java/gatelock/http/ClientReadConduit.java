package gatelock.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.conduits.AbstractStreamSourceConduit;
import org.xnio.conduits.StreamSourceConduit;

/**
 * What comes from one client, under everything that Undertow puts on it: tells of each read that brought
 * bytes, and
 * can look ahead without taking them away.
 */
final class ClientReadConduit extends AbstractStreamSourceConduit<StreamSourceConduit> {
    private static final int AHEAD_BYTES = 512;

    private final Runnable came;
    private ByteBuffer ahead;

    ClientReadConduit(StreamSourceConduit next, Runnable came) {
        super(next);
        this.came = came;
    }

    /** Whether bytes lie unread; they are read next, before any others. An end or a break is no bytes. */
    boolean unread() {
        if (ahead != null) {
            return true;
        }
        ByteBuffer look = ByteBuffer.allocate(AHEAD_BYTES);
        try {
            if (next.read(look) <= 0) {
                return false;
            }
        } catch (IOException e) {
            return false;
        }
        ahead = look.flip();
        next.wakeupReads();
        return true;
    }

    @Override
    public int read(ByteBuffer to) throws IOException {
        if (ahead != null && to.hasRemaining()) {
            int n = Math.min(ahead.remaining(), to.remaining());
            to.put(to.position(), ahead, ahead.position(), n).position(to.position() + n);
            ahead.position(ahead.position() + n);
            if (!ahead.hasRemaining()) {
                ahead = null;
            }
            came.run();
            return n;
        }
        int n = next.read(to);
        if (n > 0) {
            came.run();
        }
        return n;
    }

    @Override
    public long read(ByteBuffer[] to, int offset, int length) throws IOException {
        for (int i = offset; i < offset + length; i++) {
            if (to[i].hasRemaining()) {
                return read(to[i]);
            }
        }
        return 0;
    }

    @Override
    public long transferTo(long position, long count, FileChannel target) {
        throw new UnsupportedOperationException("a client's bytes go to no file");
    }

    @Override
    public long transferTo(long count, ByteBuffer throughBuffer, StreamSinkChannel target) {
        throw new UnsupportedOperationException("a client's bytes go through the stages");
    }
}
