package org.tarragonlug.decision.forwarding;

/**
 * One send of a request to a server. Events state the attempt that they belong to, so that the
 * outcome of an attempt that has ended is not taken for that of the next one.
 *
 * @param request the request
 * @param number number of the send among those of the request, from 1
 */
public record ForwardAttempt(long request, int number) {
    /** Returns what stands for the attempt of a request that was never sent. */
    static ForwardAttempt none(long request) {
        return new ForwardAttempt(request, 0);
    }

    /** Returns the next attempt of the request. */
    ForwardAttempt next() {
        return new ForwardAttempt(request, number + 1);
    }
}
