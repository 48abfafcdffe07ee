package gatelock.websocket;

import io.undertow.websockets.core.StreamSourceFrameChannel;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import org.xnio.ChannelListener;

/**
 * Reads one message through all of its fragments. A message that is too big is read to its end and discarded:
 * Undertow's own reader ends the connection with the rest unread, and TCP then resets it before the peer can read the
 * close frame.
 */
final class MessageReader implements ChannelListener<StreamSourceFrameChannel> {
    private static final int READ_BYTES = 4_096;
    private static final int INITIAL_BYTES = 256;

    /** Receives the outcome of the reading. */
    interface Handler {
        /** Handles a message that was read whole. */
        void messageRead(boolean text, byte[] message);

        /** Handles, once a message, that it is too big. The rest of it is still read. */
        void messageTooBig();

        /** Handles a failure of the connection or a frame that violates the protocol. */
        void readFailed(IOException failure);
    }

    private final boolean text;
    private final int maxBytes;
    private final Handler handler;
    private final ByteArrayOutputStream message = new ByteArrayOutputStream(INITIAL_BYTES);
    private boolean tooBig;

    MessageReader(boolean text, int maxBytes, Handler handler) {
        this.text = text;
        this.maxBytes = maxBytes;
        this.handler = handler;
    }

    /** Reads what is there, and is called again when there is more. */
    @Override
    public void handleEvent(StreamSourceFrameChannel frames) {
        byte[] bytes = new byte[READ_BYTES];
        ByteBuffer buffer = ByteBuffer.wrap(bytes);
        try {
            for (int count = frames.read(buffer); count >= 0; count = frames.read(buffer)) {
                if (count == 0) {
                    frames.getReadSetter().set(this);
                    frames.resumeReads();
                    return;
                }
                append(bytes, buffer.position());
                buffer.clear();
            }
        } catch (IOException e) {
            handler.readFailed(e);
            return;
        }
        if (!tooBig) {
            handler.messageRead(text, message.toByteArray());
        }
    }

    private void append(byte[] bytes, int count) {
        if (tooBig) {
            return;
        }
        if (message.size() + count > maxBytes) {
            tooBig = true;
            message.reset();
            handler.messageTooBig();
        } else {
            message.write(bytes, 0, count);
        }
    }
}
