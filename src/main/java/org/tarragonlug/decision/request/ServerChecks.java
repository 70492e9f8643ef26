package org.tarragonlug.decision.request;

import java.time.Duration;
import java.time.Instant;
import java.util.function.Consumer;

/** Checks the health of servers by requesting reports over new connections. */
final class ServerChecks {
    /** A server whose check is not answered within this time counts as unreachable. */
    private static final Duration CHECK_TIMEOUT = Duration.ofSeconds(1);

    private final CoordinatorContext context;

    ServerChecks(CoordinatorContext context) {
        this.context = context;
    }

    /**
     * Requests a report unless a request is outstanding. The callback runs if no answer arrives in
     * time.
     */
    void check(BackendServer server, Instant now, Consumer<Instant> onTimeout) {
        if (server.checkPending) {
            return;
        }
        server.checkPending = true;
        server.checkTimer =
                new TimerHeap.Timer(
                        due -> {
                            server.checkPending = false;
                            onTimeout.accept(due);
                        });
        context.timers.schedule(server.checkTimer, now.plus(CHECK_TIMEOUT));
        context.add(new RequestCommand.CheckServer(server.id));
    }

    void onCheckAnswered(BackendServer server) {
        server.checkPending = false;
        if (server.checkTimer != null) {
            context.timers.cancel(server.checkTimer);
        }
    }
}
