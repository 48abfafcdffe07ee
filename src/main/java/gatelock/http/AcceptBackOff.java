package gatelock.http;

import java.io.IOException;
import java.lang.reflect.AccessibleObject;
import java.lang.reflect.Array;
import java.lang.reflect.Field;
import java.lang.reflect.Method;
import java.util.concurrent.TimeUnit;
import org.xnio.ChannelListener;
import org.xnio.XnioIoThread;
import org.xnio.channels.AcceptListenerSettable;
import org.xnio.channels.AcceptingChannel;

/**
 * Limits the time for which XNIO accepts no connection after accepting one has failed. XNIO doubles that time up to half a
 * minute and has no option for it, so its private state is used. All of it belongs to the thread that accepts.
 */
final class AcceptBackOff {
    /** How soon accepting is tried again after it has failed. */
    private static final long RETRY_MS = 10;

    private final Object handle;
    private final Field active;
    private final Method end;
    private final XnioIoThread acceptThread;

    private AcceptBackOff(Object server) throws ReflectiveOperationException {
        handle = Array.get(
                accessible(server.getClass().getDeclaredField("handles")).get(server), 0);
        active = accessible(handle.getClass().getDeclaredField("backOff"));
        end = accessible(handle.getClass().getDeclaredMethod("endBackOff"));
        Method workerThread = accessible(handle.getClass().getSuperclass().getDeclaredMethod("getWorkerThread"));
        acceptThread = (XnioIoThread) workerThread.invoke(handle);
    }

    /**
     * Limits the time for an acceptor, before it accepts.
     *
     * @param onFailure called on the thread that accepts, each time that accepting has failed
     * @throws IOException if the state of this version of XNIO is unknown
     */
    static void limit(AcceptingChannel<?> acceptor, Runnable onFailure) throws IOException {
        try {
            Object server = accessible(acceptor.getClass().getDeclaredField("realServer"))
                    .get(acceptor);
            watch(server, new AcceptBackOff(server), onFailure);
        } catch (ReflectiveOperationException e) {
            throw new IOException("unknown version of XNIO", e);
        }
    }

    @SuppressWarnings("unchecked") // The server passes itself to its listener.
    private static void watch(Object server, AcceptBackOff backOff, Runnable onFailure) {
        AcceptListenerSettable<AcceptingChannel<?>> settable = (AcceptListenerSettable<AcceptingChannel<?>>) server;
        ChannelListener<? super AcceptingChannel<?>> listener = settable.getAcceptListener();
        settable.setAcceptListener(channel -> {
            listener.handleEvent(channel);
            if (backOff.isActive()) {
                onFailure.run();
                backOff.endSoon();
            }
        });
    }

    private static <T extends AccessibleObject> T accessible(T member) {
        member.setAccessible(true);
        return member;
    }

    private boolean isActive() {
        try {
            return active.getBoolean(handle);
        } catch (IllegalAccessException e) {
            throw new IllegalStateException(e);
        }
    }

    private void endSoon() {
        acceptThread.executeAfter(this::end, RETRY_MS, TimeUnit.MILLISECONDS);
    }

    private void end() {
        try {
            end.invoke(handle);
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException(e);
        }
    }
}
