package org.tarragonlug.decision.quarantine;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.tarragonlug.id.ServerIncarnation;

/**
 * A server that an instance may have lost, with the requests that it had there.
 *
 * <p>Many connections to a lost server break within milliseconds, so the requests are collected for
 * a moment. They are kept for a while after they were reported, because another instance may have
 * to decide next.
 */
final class NoticedLoss {
    private static final int MAX_REQUESTS = 48;

    private static final int MAX_REQUESTS_ELSEWHERE = 256;

    final ServerIncarnation server;
    final Instant noticedAt;
    private final List<LostRequest> reported = new ArrayList<>();
    private List<LostRequest> collected = new ArrayList<>();
    private List<LostRequest> collectedElsewhere = new ArrayList<>();
    private boolean confirmed;
    private boolean logged;

    NoticedLoss(ServerIncarnation server, Instant noticedAt) {
        this.server = server;
        this.noticedAt = noticedAt;
    }

    /** Records that the server did not answer a check. */
    void confirm() {
        confirmed = true;
    }

    /** Returns whether the server did not answer a check. */
    boolean isConfirmed() {
        return confirmed;
    }

    /** Adds a request of this instance. */
    void add(LostRequest request) {
        if (collected.size() + reported.size() < MAX_REQUESTS) {
            collected.add(request);
        }
    }

    /** Adds requests of another instance. */
    void addElsewhere(List<LostRequest> requests) {
        int room = MAX_REQUESTS_ELSEWHERE - collectedElsewhere.size();
        collectedElsewhere.addAll(requests.subList(0, Math.min(room, requests.size())));
    }

    /** Returns true at the first call, so that a loss is logged once. */
    boolean takeUnlogged() {
        boolean first = !logged;
        logged = true;
        return first;
    }

    boolean hasCollected() {
        return !collected.isEmpty();
    }

    /** Returns the requests of this instance that were not taken before; they count as reported. */
    List<LostRequest> takeCollected() {
        List<LostRequest> taken = collected;
        collected = new ArrayList<>();
        reported.addAll(taken);
        return taken;
    }

    /** Returns the requests of other instances that were not taken before. */
    List<LostRequest> takeCollectedElsewhere() {
        List<LostRequest> taken = collectedElsewhere;
        collectedElsewhere = new ArrayList<>();
        return taken;
    }

    /** Returns what this instance has reported of the loss; without requests if nothing. */
    ServerLoss reported(Instant now) {
        return new ServerLoss(server, Duration.between(noticedAt, now), reported);
    }
}
