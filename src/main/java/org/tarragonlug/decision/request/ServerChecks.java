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
        if (server.checking) {
            return;
        }
        server.checking = true;
        server.checkTimeout =
                new TimerHeap.Timer(
                        due -> {
                            server.checking = false;
                            onTimeout.accept(due);
                        });
        context.timers.schedule(server.checkTimeout, now.plus(CHECK_TIMEOUT));
        context.add(new RequestCommand.CheckServer(server.id));
    }

    void answered(BackendServer server) {
        server.checking = false;
        if (server.checkTimeout != null) {
            context.timers.cancel(server.checkTimeout);
        }
    }
}
