package gatelock.boot;

import java.lang.reflect.Proxy;

/**
 * Handles SIGHUP, which ends a Java program that does not handle it. It is therefore installed first of all, and a
 * signal that comes before there is an action is remembered until there is one. Nothing in the standard library
 * handles signals, and the JDK's own Signal class can't be named without a compiler warning that nothing turns off:
 * hence the reflection.
 */
final class SighupHandler {
    private Runnable action;
    private boolean received;

    private SighupHandler() {}

    /** Installs the handler: from now on SIGHUP does not end the program. */
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
            throw new IllegalStateException("SIGHUP can't be taken on this virtual machine", e);
        }
        return sighup;
    }

    private synchronized void receive() {
        if (action == null) {
            received = true;
        } else {
            action.run();
        }
    }

    /**
     * Runs an action on each SIGHUP from now on, on a thread of the virtual machine, and at once if one came before.
     *
     * <p>Guards against a configuration that changes while a process starts: the process has read the old one, and
     * would use its addresses for good. Could do no harm: at worst the same file is read twice.
     */
    synchronized void setAction(Runnable action) {
        this.action = action;
        if (received) {
            action.run();
        }
    }
}
