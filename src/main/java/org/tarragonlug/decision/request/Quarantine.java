package org.tarragonlug.decision.request;

import java.time.Duration;
import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import org.tarragonlug.id.Fingerprint;
import org.tarragonlug.id.ServerId;

/**
 * Suspects and condemned requests by fingerprint.
 *
 * <p>A request becomes a suspect when a server is lost that runs it, and is condemned by a second
 * loss. Copies of a suspect run one at a time, so that a request sent many times at this instance
 * takes down one more server at most. The announcement of a crash by a peer and the own detection
 * of it count as one loss. Both tables are bounded; the oldest entries go first.
 */
final class Quarantine {
    private static final int LARGEST_SUSPECT_COUNT = 10_000;
    private static final int LARGEST_CONDEMNED_COUNT = 10_000;

    /** Time within which all instances see the same crash. */
    private static final Duration SAME_CRASH = Duration.ofSeconds(5);

    private static final class Suspect {
        private ServerId server;
        private Instant lostAt;
        private int running;
    }

    private final Duration retention;
    private final Map<Fingerprint, Suspect> suspects = new LinkedHashMap<>();
    private final Set<Fingerprint> condemned = new LinkedHashSet<>();

    Quarantine(Duration retention) {
        this.retention = retention;
    }

    boolean isCondemned(Fingerprint fingerprint) {
        return !condemned.isEmpty() && condemned.contains(fingerprint);
    }

    boolean isSuspect(Fingerprint fingerprint, Instant now) {
        if (suspects.isEmpty()) {
            return false;
        }
        Suspect suspect = suspects.get(fingerprint);
        if (suspect == null) {
            return false;
        }
        if (suspect.running == 0 && suspect.lostAt.plus(retention).isBefore(now)) {
            suspects.remove(fingerprint);
            return false;
        }
        return true;
    }

    boolean isRunning(Fingerprint fingerprint) {
        Suspect suspect = suspects.get(fingerprint);
        return suspect != null && suspect.running > 0;
    }

    void started(Fingerprint fingerprint) {
        Suspect suspect = suspects.get(fingerprint);
        if (suspect != null) {
            suspect.running++;
        }
    }

    void stopped(Fingerprint fingerprint) {
        Suspect suspect = suspects.get(fingerprint);
        if (suspect != null) {
            suspect.running = Math.max(0, suspect.running - 1);
        }
    }

    /**
     * Counts the loss of a server that ran the request here.
     *
     * @param sentAt when the request was sent there
     * @return whether this condemns it
     */
    boolean lost(Fingerprint fingerprint, ServerId server, Instant sentAt, Instant now) {
        Suspect suspect = suspects.get(fingerprint);
        boolean sameCrash =
                suspect != null && suspect.server.equals(server) && !sentAt.isAfter(suspect.lostAt);
        return count(fingerprint, suspect, server, sameCrash, now);
    }

    /** Counts a loss that a peer announced; tells whether this condemns the request. */
    boolean announced(Fingerprint fingerprint, ServerId server, Instant now) {
        Suspect suspect = suspects.get(fingerprint);
        boolean sameCrash =
                suspect != null
                        && suspect.server.equals(server)
                        && suspect.lostAt.plus(SAME_CRASH).isAfter(now);
        return count(fingerprint, suspect, server, sameCrash, now);
    }

    void condemn(Fingerprint fingerprint) {
        suspects.remove(fingerprint);
        condemned.add(fingerprint);
        if (condemned.size() > LARGEST_CONDEMNED_COUNT) {
            condemned.remove(condemned.iterator().next());
        }
    }

    /** Clears a suspect that passed its isolated retry. */
    void clear(Fingerprint fingerprint) {
        suspects.remove(fingerprint);
    }

    private boolean count(
            Fingerprint fingerprint,
            Suspect suspect,
            ServerId server,
            boolean sameCrash,
            Instant now) {
        if (isCondemned(fingerprint)) {
            return false;
        }
        if (suspect != null && !sameCrash) {
            condemn(fingerprint);
            return true;
        }
        if (suspect == null) {
            Suspect added = new Suspect();
            added.server = server;
            added.lostAt = now;
            suspects.put(fingerprint, added);
            if (suspects.size() > LARGEST_SUSPECT_COUNT) {
                suspects.remove(suspects.keySet().iterator().next());
            }
        }
        return false;
    }
}
