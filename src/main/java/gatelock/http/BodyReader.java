package gatelock.http;

import gatelock.net.ResponseReader;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Arrays;
import org.xnio.ChannelListener;
import org.xnio.channels.StreamSourceChannel;

/**
 * Reads the body of a request into memory. It replaces the receiver of Undertow, which reads byte by byte and took a
 * third of the processing time.
 */
final class BodyReader implements ChannelListener<StreamSourceChannel> {
    private static final int INITIAL_BUFFER_BYTES = 1024;

    /** Receives the outcome. Exactly one method is called, once; {@link #onFailed} also if another one has thrown. */
    interface Listener {
        /** The body has been read completely. */
        void onComplete(byte[] body);

        /** The body exceeds the size limit of the relay. The rest was not read. */
        void onTooLong();

        /** There is no memory for the body. The rest was not read. */
        void onRefused();

        /** The client closed the connection, or its framing of the body is invalid. */
        void onAborted();

        /** Reading the body, or one of the other methods, has thrown an unexpected exception. */
        void onFailed(Throwable failure);
    }

    private final int maxCapacity;
    private final RequestMemory memory;
    private final Listener listener;
    private ByteBuffer buffer;
    private StreamSourceChannel channel;
    private boolean refused;

    /**
     * Creates a reader that has not read anything yet.
     *
     * @param length the declared length of the body, or -1 if the body is chunked
     * @param memory holds the memory of the request
     * @param listener receives the outcome
     */
    BodyReader(int length, RequestMemory memory, Listener listener) {
        this.listener = listener;
        this.memory = memory;
        this.maxCapacity = length < 0 ? ResponseReader.MAX_BODY_BYTES + 1 : length + 1;
        // One byte more than declared, so that the end of a short body is detected without growing the buffer. It grows
        // with what has arrived, as a client may stop after it has declared a long body.
        this.buffer =
                ByteBuffer.allocate(length < 0 ? INITIAL_BUFFER_BYTES : Math.min(length + 1, INITIAL_BUFFER_BYTES));
    }

    @Override
    public void handleEvent(StreamSourceChannel source) {
        channel = source;
        if (refused) {
            source.suspendReads();
            return;
        }
        try {
            readAvailable(source);
        } catch (RuntimeException | Error e) {
            // Outside of the call that handles the head, Undertow only logs an exception.
            listener.onFailed(e);
        }
    }

    private void readAvailable(StreamSourceChannel source) {
        try {
            readUntilBlocked(source);
        } catch (IOException e) {
            listener.onAborted();
        }
    }

    private void readUntilBlocked(StreamSourceChannel source) throws IOException {
        int count = source.read(buffer);
        while (count > 0) {
            if (buffer.position() > ResponseReader.MAX_BODY_BYTES) {
                source.suspendReads();
                listener.onTooLong();
                return;
            }
            if (!buffer.hasRemaining() && !grow()) {
                refuse();
                return;
            }
            count = source.read(buffer);
        }
        if (count == 0) {
            source.getReadSetter().set(this);
            source.resumeReads();
        } else {
            source.suspendReads();
            listener.onComplete(Arrays.copyOf(buffer.array(), buffer.position()));
        }
    }

    private boolean grow() {
        int capacity = Math.min(buffer.capacity() * 2, maxCapacity);
        if (!memory.holdIncompleteBody(capacity, this::refuse)) {
            return false;
        }
        buffer = ByteBuffer.allocate(capacity).put(buffer.flip());
        return true;
    }

    /** Ends a body that has not arrived completely, because there is no memory for it. */
    private void refuse() {
        refused = true;
        buffer = null;
        memory.holdOnlyHead();
        channel.suspendReads();
        listener.onRefused();
    }
}
