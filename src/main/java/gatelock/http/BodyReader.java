package gatelock.http;

import gatelock.net.ResponseReader;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Arrays;
import org.xnio.ChannelListener;
import org.xnio.channels.StreamSourceChannel;

/**
 * Reads the body of a request into memory. Undertow's own receiver reads byte by byte, which cost a third of the time.
 */
final class BodyReader implements ChannelListener<StreamSourceChannel> {
    private static final int FIRST_CHUNKS_BYTES = 1024;

    /** Learns how the reading ended; exactly one method is called, once. */
    interface Listener {
        /** The body is complete. */
        void complete(byte[] body);

        /** The body is longer than the relay accepts; the rest was not read. */
        void tooLong();

        /** The client left, or broke its own framing. */
        void brokenOff();
    }

    private final Listener listener;
    private ByteBuffer bytes;

    /**
     * Creates a reader that has not read yet.
     *
     * @param length the length of the body as stated, or -1 if the body comes in chunks
     * @param listener learns how the reading ended
     */
    BodyReader(int length, Listener listener) {
        this.listener = listener;
        // One byte more than stated, so that the end of the body is found without growing the buffer.
        this.bytes = ByteBuffer.allocate(length < 0 ? FIRST_CHUNKS_BYTES : length + 1);
    }

    @Override
    public void handleEvent(StreamSourceChannel channel) {
        try {
            readAvailable(channel);
        } catch (IOException e) {
            listener.brokenOff();
        }
    }

    private void readAvailable(StreamSourceChannel channel) throws IOException {
        int count = channel.read(bytes);
        while (count > 0) {
            if (bytes.position() > ResponseReader.MAX_BODY_BYTES) {
                channel.suspendReads();
                listener.tooLong();
                return;
            }
            if (!bytes.hasRemaining()) {
                bytes = ByteBuffer.allocate(bytes.capacity() * 2).put(bytes.flip());
            }
            count = channel.read(bytes);
        }
        if (count == 0) {
            channel.getReadSetter().set(this);
            channel.resumeReads();
        } else {
            channel.suspendReads();
            listener.complete(Arrays.copyOf(bytes.array(), bytes.position()));
        }
    }
}
