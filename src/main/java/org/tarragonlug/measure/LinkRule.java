package org.tarragonlug.measure;

/** Decides which messages the network loses. Members are identified by number. */
@FunctionalInterface
interface LinkRule {
    /** Loses no message. */
    LinkRule NONE = (from, to, micros) -> false;

    /** Returns whether a message sent at the given virtual time is lost. */
    boolean drops(int from, int to, long micros);
}
