package org.tarragonlug.soak;

/** The one clock of a soak. */
final class SoakClock {
    private SoakClock() {}

    /** Returns milliseconds since any fixed moment; never goes back. */
    static long millis() {
        return System.nanoTime() / 1_000_000;
    }
}
