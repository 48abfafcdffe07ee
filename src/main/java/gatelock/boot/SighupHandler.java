package gatelock.boot;

import java.lang.reflect.Proxy;

/**
 * Handles SIGHUP, which terminates a Java process that does not handle it. The handler is therefore installed before
 * anything else, and a signal that arrives before an action is set is kept pending until then. The standard library has
 * no API for signals, and a direct use of the JDK's Signal class causes a compiler warning that cannot be suppressed.
 * This class therefore uses reflection.
 */
final class SighupHandler {
    private Runnable action;
    private boolean pending;

    private SighupHandler() {}

    /** Installs the handler. From now on SIGHUP does not terminate the process. */
    static SighupHandler install() {
        SighupHandler sighup = new SighupHandler();
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handlerType = Class.forName("sun.misc.SignalHandler");
            Object handler = Proxy.newProxyInstance(
                    SighupHandler.class.getClassLoader(), new Class<?>[] {handlerType}, (proxy, method, args) -> {
                        sighup.receive();
                        return null;
                    });
            signal.getMethod("handle", signal, handlerType)
                    .invoke(null, signal.getConstructor(String.class).newInstance("HUP"), handler);
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException("cannot install a SIGHUP handler on this JVM", e);
        }
        return sighup;
    }

    private synchronized void receive() {
        if (action == null) {
            pending = true;
        } else {
            action.run();
        }
    }

    /**
     * Sets the action that runs on each SIGHUP, on a thread of the JVM. If a signal is pending, runs the action
     * immediately.
     *
     * <p>Guards against a configuration that changes while the process starts: the process has already read the old
     * file and would keep using its addresses. In the worst case the same file is read twice, which is harmless.
     */
    synchronized void setAction(Runnable action) {
        this.action = action;
        if (pending) {
            action.run();
        }
    }
}
