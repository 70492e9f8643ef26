package org.tarragonlug.decision.request;

import java.time.Duration;
import java.time.Instant;
import java.util.function.Consumer;

/** Asks for reports over new connections, by which the health of servers is judged. */
final class ServerChecks {
    /** A check that the edge does not answer counts as unreachable after this time. */
    private static final Duration CHECK_TIMEOUT = Duration.ofSeconds(1);

    private final CoordinatorContext context;

    ServerChecks(CoordinatorContext context) {
        this.context = context;
    }

    /** Asks for a report unless one is outstanding; a timeout is taken for unreachable. */
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
