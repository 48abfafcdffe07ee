package gatelock.boot;

import java.lang.reflect.Proxy;

/**
 * SIGHUP, which ends a Java program that does not take it. Nothing in the standard library does, and the JDK's own
 * Signal can't be named without a warning of the compiler's that nothing turns off: hence by reflection.
 */
final class Hangup {
    private Hangup() {
    }

    /** From now on a SIGHUP does this, on a thread of the virtual machine's. */
    static void means(Runnable what) {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object does = Proxy.newProxyInstance(Hangup.class.getClassLoader(), new Class<?>[] {handler},
                (proxy, method, args) -> {
                    what.run();
                    return null;
                });
            signal.getMethod("handle", signal, handler)
                .invoke(null, signal.getConstructor(String.class).newInstance("HUP"), does);
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException("SIGHUP can't be taken on this virtual machine", e);
        }
    }
}
