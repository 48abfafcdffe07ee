package gatelock.websocket;

import io.undertow.websockets.core.StreamSourceFrameChannel;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import org.xnio.ChannelListener;

/**
 * Reads one message with all of its fragments. A message that is too big is read to its end and discarded. Undertow's
 * own reader would close the connection with unread data, which causes a TCP reset before the peer can read the close
 * frame.
 */
final class MessageReader implements ChannelListener<StreamSourceFrameChannel> {
    private static final int READ_BUFFER_BYTES = 4_096;
    private static final int INITIAL_MESSAGE_BYTES = 256;

    /** Receives the message or the failure. */
    interface Handler {
        /** Handles a complete message. */
        void messageRead(boolean text, byte[] message);

        /** Handles a message that is too big. Called once per message; the rest of the message is still read. */
        void messageTooBig();

        /** Handles a connection failure or a frame that violates the protocol. */
        void readFailed(IOException failure);
    }

    private final boolean text;
    private final int maxBytes;
    private final Handler handler;
    private final ByteArrayOutputStream message = new ByteArrayOutputStream(INITIAL_MESSAGE_BYTES);
    private boolean tooBig;

    /**
     * Creates a reader for one message.
     *
     * @param text whether it is a text message rather than a binary one
     * @param maxBytes maximum size of the message
     * @param handler receives the message or the failure
     */
    MessageReader(boolean text, int maxBytes, Handler handler) {
        this.text = text;
        this.maxBytes = maxBytes;
        this.handler = handler;
    }

    /** Reads the available data. Undertow calls this again when more arrives. */
    @Override
    public void handleEvent(StreamSourceFrameChannel frames) {
        byte[] bytes = new byte[READ_BUFFER_BYTES];
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
