package org.tarragonlug.soak;

import java.util.concurrent.atomic.AtomicLong;

/** What the servers of a soak have done, over all of them. */
final class ServerCounts {
    final AtomicLong runs = new AtomicLong();
    final AtomicLong refusals = new AtomicLong();

    /** Refusals because the request was meant for another server. */
    final AtomicLong misdirected = new AtomicLong();

    final AtomicLong copies = new AtomicLong();

    /** Copies that were sent while another request waited on the connection. */
    final AtomicLong copiesBeforeOther = new AtomicLong();

    /** Copies that were sent while the same request waited again on the connection. */
    final AtomicLong copiesBeforeSame = new AtomicLong();

    final AtomicLong starts = new AtomicLong();

    /** Returns all counts as one line of key=value. */
    String line() {
        return "server_runs="
                + runs
                + " server_refusals="
                + refusals
                + " server_misdirected="
                + misdirected
                + " copies="
                + copies
                + " copies_before_other_request="
                + copiesBeforeOther
                + " copies_before_same_request="
                + copiesBeforeSame
                + " server_starts="
                + starts;
    }
}
