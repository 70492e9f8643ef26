package org.tarragonlug.measure;

/** Which messages the network loses; members are given by number. */
@FunctionalInterface
interface LinkRule {
    /** A network that loses nothing. */
    LinkRule NONE = (from, to, micros) -> false;

    /** Tells whether a message sent at a time is lost. */
    boolean drops(int from, int to, long micros);
}
