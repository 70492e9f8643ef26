package org.tarragonlug.soak;

import java.util.ArrayList;
import java.util.List;

/** What servers and callers have seen of one request. */
final class RequestRecord {
    /** A run at a server. Times are in milliseconds. */
    static final class Run {
        final String server;
        final long beginMillis;
        boolean ended;

        Run(String server, long beginMillis) {
            this.server = server;
            this.beginMillis = beginMillis;
        }
    }

    final RequestKind kind;
    final List<Run> runs = new ArrayList<>();

    /** The gateway to which it was sent last. */
    int gateway;

    /** Status of the answer to the last send that says that it was not run; 0 for none. */
    int refusalStatus;

    RequestRecord(RequestKind kind, int gateway) {
        this.kind = kind;
        this.gateway = gateway;
    }

    /** Returns the servers that began to run the request, in order. */
    String servers() {
        return String.join(", ", runs.stream().map(run -> run.server).toList());
    }
}
