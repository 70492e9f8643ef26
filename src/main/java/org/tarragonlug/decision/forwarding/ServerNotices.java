package org.tarragonlug.decision.forwarding;

import java.time.Duration;
import java.time.Instant;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.tarragonlug.id.ServerIncarnation;

/**
 * What servers have said about themselves with their answers, and what follows for new requests.
 *
 * <p>A server that leaves gets no further requests, and one that asked for a pause gets none until
 * the pause is over. Both hold for one run of the server's process: a server that starts again may
 * have the same id, and then knows nothing of what it said before. They hold whatever the platform
 * lists, because an answer comes from the server itself, while its listing may be late, disappear
 * in an outage of the store and come back.
 *
 * <p>When a pause ends, {@link AdaptiveLimit} limits the requests that return. Notices are kept in
 * {@link RecentRuns}; pauses are removed some time after their end.
 */
final class ServerNotices {
    /** How long a pause is kept after its end, in case its server is listed again. */
    private static final Duration PAUSE_RETENTION = Duration.ofSeconds(1);

    private final RecentRuns<Boolean> leaving = new RecentRuns<>();
    private final RecentRuns<Set<NoticeFault>> faults = new RecentRuns<>();
    private final Map<ServerIncarnation, Instant> pausedUntil = new HashMap<>();

    /**
     * Records what a server has said with an answer that was received now.
     *
     * @return whether anything of it was not known before
     */
    boolean record(ServerIncarnation server, ServerNotice notice, Instant now) {
        boolean changed = notice.leaving() && leaving.put(server, true) == null;
        if (notice.pause().isPresent()) {
            changed |= pause(server, now.plus(notice.pause().get()), now);
        }
        if (!notice.faults().isEmpty()) {
            changed |=
                    faults.computeIfAbsent(server, each -> EnumSet.noneOf(NoticeFault.class))
                            .addAll(notice.faults());
        }
        return changed;
    }

    private boolean pause(ServerIncarnation server, Instant end, Instant now) {
        pausedUntil.values().removeIf(each -> !now.isBefore(each.plus(PAUSE_RETENTION)));
        if (!end.isAfter(pausedUntil(server))) {
            return false;
        }
        pausedUntil.put(server, end);
        return true;
    }

    /** Tells whether the server has said that it leaves. */
    boolean isLeaving(ServerIncarnation server) {
        return leaving.containsKey(server);
    }

    /** Returns the end of the last pause that the server asked for; in the past if it has none. */
    Instant pausedUntil(ServerIncarnation server) {
        return pausedUntil.getOrDefault(server, Instant.EPOCH);
    }
}
