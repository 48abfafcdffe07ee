package gatelock.boot;

import sun.misc.Signal;

/** SIGHUP, which ends a Java program that does not take it; nothing in the standard library does. */
final class Hangup {
    private Hangup() {
    }

    /** From now on a SIGHUP does this, on a thread of the virtual machine's. */
    @SuppressWarnings("sunapi")
    static void means(Runnable what) {
        Signal.handle(new Signal("HUP"), signal -> what.run());
    }
}
