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
    final int gateway;
    final List<Run> runs = new ArrayList<>();

    /** Status of an answer that says that the request was not run; 0 for none. */
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
