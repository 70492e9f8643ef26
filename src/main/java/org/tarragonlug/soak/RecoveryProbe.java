package org.tarragonlug.soak;

import java.util.Collections;
import java.util.EnumSet;
import java.util.Set;

/** Sends requests of each kind to one gateway until each kind was served once. */
final class RecoveryProbe {
    private static final int PAUSE_MILLIS = 50;

    private final SoakCaller caller;
    private final Set<RequestKind> unserved =
            Collections.synchronizedSet(EnumSet.noneOf(RequestKind.class));

    /**
     * Creates a probe.
     *
     * @param caller a caller that uses the one gateway only
     * @param kinds the kinds of requests that must be served
     */
    RecoveryProbe(SoakCaller caller, Set<RequestKind> kinds) {
        this.caller = caller;
        unserved.addAll(kinds);
    }

    /** Sends a request of each kind that was not served yet. */
    void step() throws InterruptedException {
        for (RequestKind kind : RequestKind.values()) {
            if (unserved.contains(kind) && caller.work(kind)) {
                unserved.remove(kind);
            }
        }
        Thread.sleep(PAUSE_MILLIS);
    }

    boolean isDone() {
        return unserved.isEmpty();
    }

    /** Returns the kinds that were not served. */
    String unserved() {
        return unserved.toString();
    }
}
