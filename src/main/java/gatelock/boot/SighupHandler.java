package gatelock.boot;

import java.lang.reflect.Proxy;

/**
 * SIGHUP, which ends a Java program that does not take it: so it is taken first of all, and one that comes before
 * there is anything to read anew for is kept until there is. Nothing in the standard library takes signals, and the
 * JDK's own Signal can't be named without a warning of the compiler's that nothing turns off: hence by reflection.
 */
final class SighupHandler {
    private Runnable what;
    private boolean came;

    private SighupHandler() {}

    /** From now on SIGHUP does not end the program. */
    static SighupHandler taken() {
        SighupHandler hangup = new SighupHandler();
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object does = Proxy.newProxyInstance(
                    SighupHandler.class.getClassLoader(), new Class<?>[] {handler}, (proxy, method, args) -> {
                        hangup.came();
                        return null;
                    });
            signal.getMethod("handle", signal, handler)
                    .invoke(null, signal.getConstructor(String.class).newInstance("HUP"), does);
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException("SIGHUP can't be taken on this virtual machine", e);
        }
        return hangup;
    }

    private synchronized void came() {
        if (what == null) {
            came = true;
        } else {
            what.run();
        }
    }

    /**
     * From now on a SIGHUP does this, on a thread of the virtual machine's; it does so at once if one came before.
     * Guards against a configuration that changes while a process starts: it has read the old one, and would go
     * by its addresses for good. Could harm nothing: at worst the same file is read twice.
     */
    synchronized void means(Runnable what) {
        this.what = what;
        if (came) {
            what.run();
        }
    }
}
