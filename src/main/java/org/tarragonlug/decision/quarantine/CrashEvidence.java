package org.tarragonlug.decision.quarantine;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.tarragonlug.id.RequestTrait;
import org.tarragonlug.id.ServerIncarnation;

/**
 * Derives from lost servers which trait of requests crashes servers.
 *
 * <p>When a server is lost, each of its requests that had no content of an answer yet may have
 * caused the loss, so each of their traits is noted for this server. A server that begins to answer
 * a request with a trait proves the trait harmless at that time, and its notes are deleted. What
 * crashes servers therefore collects notes, while a trait that many requests share is cleared by
 * the next of them within a fraction of a second. A trait is convicted when {@link #MIN_LOSSES}
 * servers were lost with it and no server has begun to answer it since the first of these losses;
 * {@link #MIN_LOSSES_AFTER_ANSWERS} are needed if servers answered it shortly before.
 *
 * <p>Harmless traits accompany the harmful one: the other parts of the same prompts, and those of
 * requests that were at the same servers. Of several suspects the one is convicted that no server
 * answered before, then the one at most lost servers, then the one that fewest lost requests have,
 * and among equals the one that stands last in the prompt, because fewer requests share a part the
 * later it stands. Losses with a convicted part are explained by it and are no longer notes for
 * other traits. If the choice was wrong, losses go on without the convicted part and convict the
 * right one. A part needs notes from two different requests, since a single one that is sent again
 * and again shows nothing about other requests with its parts; its content trait is convicted
 * instead.
 *
 * <p>Servers that fail together for another reason are lost at almost the same time. {@link
 * #CLEARING_TIME} gives the answers of other servers time to clear the traits that they share.
 *
 * <p>The notes are bounded. If there are too many, the oldest traits that were noted only once are
 * forgotten first; what goes on crashing servers is noted again.
 */
final class CrashEvidence {
    /** Number of lost servers that convict a trait. */
    static final int MIN_LOSSES = 3;

    /** Number of lost servers that convict a trait which servers answered shortly before. */
    static final int MIN_LOSSES_AFTER_ANSWERS = 5;

    /** Time from the first loss to the conviction at the least. */
    static final Duration CLEARING_TIME = Duration.ofMillis(300);

    /** Number of different requests whose loss convicts a part of their prompts. */
    private static final int MIN_REQUESTS = 2;

    /** Number of lost servers from which on instances are asked whether the trait is harmless. */
    private static final int MIN_WATCHED_LOSSES = 2;

    private static final Duration RETENTION = Duration.ofMinutes(10);
    private static final int MAX_TRAITS = 2048;
    private static final int MAX_WATCHED_TRAITS = 32;
    private static final int MAX_LOSSES_OF_TRAIT = 16;
    private static final int MAX_EXPLAINED_LOSSES = 256;

    /** The losses that a trait may have caused. */
    private static final class Notes {
        private final Map<ServerIncarnation, Instant> losses = new LinkedHashMap<>();
        private final Set<RequestTrait> contents = new HashSet<>();
        private int lostRequests;
        private int position;
        private boolean answeredBefore;

        private Instant firstLoss() {
            return Collections.min(losses.values());
        }
    }

    /**
     * A trait that has become convicted.
     *
     * @param trait the trait
     * @param losses the servers that were lost with it
     * @param lostRequests number of lost requests with the trait
     */
    record Conviction(RequestTrait trait, Set<ServerIncarnation> losses, int lostRequests) {
        Conviction {
            losses = Set.copyOf(losses);
        }
    }

    private final Map<RequestTrait, Notes> notes = new LinkedHashMap<>();
    private final Set<ServerIncarnation> explainedLosses = new LinkedHashSet<>();

    /** Returns the number of traits with notes. */
    int size() {
        return notes.size();
    }

    /**
     * Notes the traits of requests for a lost server.
     *
     * @param server the lost server
     * @param lostAt when it was lost
     * @param requests its requests that had no content of an answer
     * @param convicted the traits that are quarantined already; a part among them explains the loss
     */
    void onServerLost(
            ServerIncarnation server,
            Instant lostAt,
            Collection<LostRequest> requests,
            Set<RequestTrait> convicted) {
        for (LostRequest request : requests) {
            if (request.parts().stream().anyMatch(convicted::contains)) {
                explain(Set.of(server));
            }
        }
        if (explainedLosses.contains(server)) {
            return;
        }
        for (LostRequest request : requests) {
            note(request.content(), server, lostAt, request, 0);
            int position = 0;
            for (RequestTrait part : new LinkedHashSet<>(request.parts())) {
                position++;
                note(part, server, lostAt, request, position);
            }
        }
        forgetBeyondLimit();
    }

    private void note(
            RequestTrait trait,
            ServerIncarnation server,
            Instant lostAt,
            LostRequest request,
            int position) {
        Notes noted = notes.computeIfAbsent(trait, each -> new Notes());
        noted.losses.putIfAbsent(server, lostAt);
        noted.lostRequests++;
        noted.position = Math.max(noted.position, position);
        if (noted.contents.size() < MIN_REQUESTS) {
            noted.contents.add(request.content());
        }
        if (noted.losses.size() > MAX_LOSSES_OF_TRAIT) {
            noted.losses.remove(noted.losses.keySet().iterator().next());
        }
    }

    private void forgetBeyondLimit() {
        for (int losses = 1; notes.size() > MAX_TRAITS; losses++) {
            Iterator<Notes> oldest = notes.values().iterator();
            while (notes.size() > MAX_TRAITS && oldest.hasNext()) {
                if (oldest.next().losses.size() <= losses) {
                    oldest.remove();
                }
            }
        }
    }

    /**
     * Deletes the notes of losses that precede an answer to a request with the trait. An answer
     * that precedes all of them is remembered as a sign that the trait is harmless.
     */
    void onAnswered(RequestTrait trait, Instant answeredAt) {
        Notes noted = notes.get(trait);
        if (noted != null) {
            noted.answeredBefore = true;
            noted.losses.values().removeIf(lostAt -> !lostAt.isAfter(answeredAt));
            removeIfEmpty(trait, noted);
        }
    }

    /** Deletes the notes for a server that turned out not to be lost. */
    void onServerNotLost(ServerIncarnation server) {
        deleteLosses(Set.of(server));
    }

    /** Deletes all notes of a trait. */
    void forget(RequestTrait trait) {
        notes.remove(trait);
    }

    private void deleteLosses(Set<ServerIncarnation> losses) {
        for (RequestTrait trait : List.copyOf(notes.keySet())) {
            Notes noted = notes.get(trait);
            noted.losses.keySet().removeAll(losses);
            removeIfEmpty(trait, noted);
        }
    }

    private void removeIfEmpty(RequestTrait trait, Notes noted) {
        if (noted.losses.isEmpty()) {
            notes.remove(trait);
        }
    }

    /** Deletes old notes, then returns the traits that are convicted now and deletes theirs. */
    List<Conviction> convict(Instant now) {
        Instant oldest = now.minus(RETENTION);
        for (RequestTrait trait : List.copyOf(notes.keySet())) {
            Notes noted = notes.get(trait);
            noted.losses.values().removeIf(lostAt -> lostAt.isBefore(oldest));
            removeIfEmpty(trait, noted);
        }
        List<Conviction> convictions = new ArrayList<>();
        Optional<RequestTrait> next = mostSpecificSuspect(now);
        while (next.isPresent()) {
            convictions.add(convict(next.get()));
            next = mostSpecificSuspect(now);
        }
        return convictions;
    }

    private Optional<RequestTrait> mostSpecificSuspect(Instant now) {
        return notes.entrySet().stream()
                .filter(each -> isConvictable(each.getKey(), each.getValue(), now))
                .min(
                        Comparator.comparing(
                                        (Map.Entry<RequestTrait, Notes> each) ->
                                                each.getKey().kind())
                                .thenComparing(each -> each.getValue().answeredBefore)
                                .thenComparing(each -> -each.getValue().losses.size())
                                .thenComparing(each -> each.getValue().lostRequests)
                                .thenComparing(each -> -each.getValue().position)
                                .thenComparing(Map.Entry::getKey))
                .map(Map.Entry::getKey);
    }

    private static boolean isConvictable(RequestTrait trait, Notes noted, Instant now) {
        boolean enoughRequests =
                trait.kind() == RequestTrait.Kind.CONTENT || noted.contents.size() >= MIN_REQUESTS;
        return enoughRequests
                && noted.losses.size()
                        >= (noted.answeredBefore ? MIN_LOSSES_AFTER_ANSWERS : MIN_LOSSES)
                && !now.isBefore(noted.firstLoss().plus(CLEARING_TIME));
    }

    private Conviction convict(RequestTrait trait) {
        Notes noted = notes.remove(trait);
        if (trait.kind() == RequestTrait.Kind.PART) {
            explain(noted.losses.keySet());
        }
        return new Conviction(trait, noted.losses.keySet(), noted.lostRequests);
    }

    private void explain(Set<ServerIncarnation> losses) {
        explainedLosses.addAll(losses);
        Iterator<ServerIncarnation> oldest = explainedLosses.iterator();
        while (explainedLosses.size() > MAX_EXPLAINED_LOSSES) {
            oldest.next();
            oldest.remove();
        }
        deleteLosses(losses);
    }

    /** Returns the traits that are close to a conviction, with the time since their first loss. */
    List<TraitAge> watched(Instant now) {
        return notes.entrySet().stream()
                .filter(each -> each.getValue().losses.size() >= MIN_WATCHED_LOSSES)
                .sorted(Comparator.comparing(each -> -each.getValue().losses.size()))
                .limit(MAX_WATCHED_TRAITS)
                .map(
                        each ->
                                new TraitAge(
                                        each.getKey(),
                                        Duration.between(each.getValue().firstLoss(), now)))
                .toList();
    }
}
