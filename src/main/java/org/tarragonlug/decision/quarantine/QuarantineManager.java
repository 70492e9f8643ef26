package org.tarragonlug.decision.quarantine;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.tarragonlug.decision.StateMachine;
import org.tarragonlug.id.RequestTrait;
import org.tarragonlug.id.ServerIncarnation;

/**
 * Decides which requests must not reach servers because others like them have crashed servers.
 *
 * <p>Requests that crash servers arrive at any instance, so each instance sees only a part of the
 * evidence. An instance that loses a server checks it on a new connection, to tell a lost server
 * from a lost connection, and reports its requests there to the instances that may decide. These
 * check the server themselves, so that an instance whose own connections fail convinces nobody. The
 * deciding instance draws the conclusions ({@link CrashEvidence}), announces them to all instances
 * and stores them. An announcement arrives within milliseconds; the stored quarantine reaches
 * instances that have just started or hear of no other instance, and it outlasts them all.
 *
 * <p>An instance that hears of no deciding instance decides for itself from its own evidence. It
 * stores a conviction only if the platform's list confirms that the servers have ended, because an
 * instance that is cut off from servers sees the same as one whose servers crash.
 *
 * <p>All instances report when servers answer requests with traits that are suspected or
 * quarantined, which clears them. A server that was believed lost and answers again takes its
 * evidence back.
 *
 * <p>The manager is called for few events: lost requests, and the first content of an answer. All
 * its tables are bounded, and messages are sent only while there is evidence.
 */
public final class QuarantineManager implements StateMachine<QuarantineEvent, QuarantineCommand> {
    /** Time in which the connections to a lost server break. */
    static final Duration COLLECTION_TIME = Duration.ofMillis(30);

    /** How long an announcement holds that is neither repeated nor stored. */
    private static final Duration ANNOUNCEMENT_VALIDITY = DecisionAnnouncer.PERIOD.multipliedBy(3);

    /** Time between two reports of answers to requests with the same trait at the least. */
    private static final Duration ANSWER_REPORT_PAUSE = Duration.ofMillis(100);

    private static final Duration LOSS_RETENTION = Duration.ofSeconds(30);
    private static final int MAX_LOSSES = 32;
    private static final int MAX_GONE_SERVERS = 256;

    /** A lost server is not back sooner than this, so what answers earlier was not lost. */
    private static final Duration MIN_DOWN_TIME = Duration.ofMillis(1500);

    /** Within this time the platform's list shows that a server was lost. */
    private static final Duration MAX_LISTING_DELAY = Duration.ofSeconds(6);

    private final CrashEvidence evidence = new CrashEvidence();
    private final ConvictedTraits convicted = new ConvictedTraits();
    private final RecentAnswers recentAnswers = new RecentAnswers();
    private final Map<ServerIncarnation, NoticedLoss> losses = new LinkedHashMap<>();
    private final Set<ServerIncarnation> goneServers = new LinkedHashSet<>();
    private final StoredQuarantine stored = new StoredQuarantine();
    private final DecisionAnnouncer announcer = new DecisionAnnouncer();

    /** Traits that were released, and may still be stored or announced by an old message. */
    private final Map<RequestTrait, Instant> released = new HashMap<>();

    private final Map<RequestTrait, Instant> answersReportedAt = new HashMap<>();
    private QuarantineRole role = QuarantineRole.ALONE;

    /** What the deciding instance announced last; an instance that decides ignores it. */
    private Set<RequestTrait> announced = Set.of();

    private Instant announcedAt = Instant.EPOCH;
    private Set<RequestTrait> watched = Set.of();
    private Set<RequestTrait> applied = Set.of();
    private List<QuarantineCommand> commands = new ArrayList<>();

    /** Returns the traits whose requests are kept from servers. */
    public Set<RequestTrait> quarantined() {
        return applied;
    }

    /** Returns the number of traits with evidence against them. */
    public int suspectedCount() {
        return evidence.size();
    }

    /** Returns whether this instance has noticed the loss of a server lately. */
    public boolean hasNoticedLoss(ServerIncarnation server) {
        return losses.containsKey(server);
    }

    @Override
    public List<QuarantineCommand> handle(QuarantineEvent event, Instant now) {
        commands = new ArrayList<>();
        if (event instanceof QuarantineEvent.RequestLost lost) {
            onRequestLost(lost, now);
        } else if (event instanceof QuarantineEvent.AnswerBegun begun) {
            onAnswerBegun(begun.traits(), now);
        } else if (event instanceof QuarantineEvent.ServerChecked checked) {
            onServerChecked(checked, now);
        } else if (event instanceof QuarantineEvent.ServerAnswered answered) {
            onServerAnswered(answered, now);
        } else if (event instanceof QuarantineEvent.ServerGone gone) {
            onServerGone(gone.server());
        } else if (event instanceof QuarantineEvent.LossesReported reported) {
            reported.losses().forEach(loss -> onLossReported(loss, now));
        } else if (event instanceof QuarantineEvent.AnswersReported reported) {
            reported.answers().forEach(each -> onAnswered(each.trait(), now.minus(each.age())));
        } else if (event instanceof QuarantineEvent.DecisionsAnnounced decisions) {
            onDecisionsAnnounced(decisions, now);
        } else if (event instanceof QuarantineEvent.StoredRead read) {
            onStoredRead(read.quarantined(), now);
        } else if (event instanceof QuarantineEvent.EarlierRecordRead read) {
            onEarlierRecordRead(read, now);
        } else if (event instanceof QuarantineEvent.StoreRestored) {
            stored.onStoreRestored();
        } else if (event instanceof QuarantineEvent.RoleChanged changed) {
            onRoleChanged(changed.role(), now);
        } else {
            onTick(now);
        }
        decide(now);
        apply(now);
        announce(now);
        store(now);
        return commands;
    }

    // Losses

    private void onRequestLost(QuarantineEvent.RequestLost lost, Instant now) {
        NoticedLoss loss = loss(lost.server(), now);
        if (!loss.hasCollected()) {
            commands.add(new QuarantineCommand.ScheduleTick(COLLECTION_TIME));
        }
        loss.add(lost.request());
    }

    private NoticedLoss loss(ServerIncarnation server, Instant noticedAt) {
        NoticedLoss known = losses.get(server);
        if (known != null) {
            return known;
        }
        NoticedLoss loss = new NoticedLoss(server, noticedAt);
        losses.put(server, loss);
        if (losses.size() > MAX_LOSSES) {
            losses.remove(losses.keySet().iterator().next());
        }
        commands.add(new QuarantineCommand.CheckServer(server));
        return loss;
    }

    private void onLossReported(ServerLoss reported, Instant now) {
        NoticedLoss loss = loss(reported.server(), now.minus(reported.age()));
        loss.addElsewhere(reported.requests());
        if (loss.isConfirmed()) {
            takeEvidence(loss, loss.takeCollectedElsewhere(), now);
        }
    }

    private void onServerChecked(QuarantineEvent.ServerChecked checked, Instant now) {
        NoticedLoss loss = losses.get(checked.server());
        if (loss == null || loss.isConfirmed()) {
            return;
        }
        if (checked.alive()) {
            losses.remove(checked.server());
            return;
        }
        loss.confirm();
        takeEvidence(loss, loss.takeCollectedElsewhere(), now);
        reportCollected(now);
    }

    /** Takes and reports the requests of lost servers that have been collected long enough. */
    private void reportCollected(Instant now) {
        List<ServerLoss> reports = new ArrayList<>();
        for (NoticedLoss loss : losses.values()) {
            boolean due = !now.isBefore(loss.noticedAt.plus(COLLECTION_TIME));
            if (loss.isConfirmed() && loss.hasCollected() && due) {
                List<LostRequest> requests = withoutAnswered(loss.takeCollected(), loss.noticedAt);
                takeEvidence(loss, requests, now);
                Duration age = Duration.between(loss.noticedAt, now);
                reports.add(new ServerLoss(loss.server, age, requests));
                if (loss.takeUnlogged()) {
                    commands.add(new QuarantineCommand.LogLoss(loss.server, requests.size()));
                }
            }
        }
        if (!reports.isEmpty()) {
            commands.add(new QuarantineCommand.ReportLosses(reports));
        }
    }

    /** Leaves out the parts that other servers have begun to answer since the loss. */
    private List<LostRequest> withoutAnswered(List<LostRequest> requests, Instant lostAt) {
        List<LostRequest> result = new ArrayList<>();
        for (LostRequest request : requests) {
            List<RequestTrait> parts =
                    request.parts().stream()
                            .filter(
                                    part ->
                                            recentAnswers
                                                    .lastAnswer(part)
                                                    .filter(lostAt::isBefore)
                                                    .isEmpty())
                            .toList();
            result.add(new LostRequest(request.content(), parts));
        }
        return result;
    }

    private void takeEvidence(NoticedLoss loss, List<LostRequest> requests, Instant now) {
        evidence.onServerLost(loss.server, loss.noticedAt, requests, applied);
        convicted.onServerLost(requests, now);
        for (LostRequest request : requests) {
            for (RequestTrait part : request.parts()) {
                recentAnswers.lastAnswer(part).ifPresent(at -> evidence.onAnswered(part, at));
            }
        }
    }

    /** Takes the evidence of a server back that answers a request sent after its loss. */
    private void onServerAnswered(QuarantineEvent.ServerAnswered answered, Instant now) {
        ServerIncarnation server = answered.server();
        NoticedLoss loss = losses.get(server);
        if (loss == null || goneServers.contains(server)) {
            return;
        }
        Duration age = Duration.between(loss.noticedAt, now);
        boolean sameRun = age.compareTo(MIN_DOWN_TIME) < 0 || age.compareTo(MAX_LISTING_DELAY) > 0;
        if (sameRun && answered.sentAt().isAfter(loss.noticedAt.plus(COLLECTION_TIME))) {
            losses.remove(server);
            evidence.onServerNotLost(server);
            for (RequestTrait trait : convicted.onServerNotLost(server)) {
                release(trait, ReleaseReason.SERVERS_NOT_LOST, now);
            }
        }
    }

    private void onServerGone(ServerIncarnation server) {
        goneServers.add(server);
        if (goneServers.size() > MAX_GONE_SERVERS) {
            goneServers.remove(goneServers.iterator().next());
        }
    }

    // Answers

    private void onAnswerBegun(List<RequestTrait> traits, Instant now) {
        List<TraitAge> answers = new ArrayList<>();
        for (RequestTrait trait : traits) {
            if (trait.kind() == RequestTrait.Kind.PART) {
                recentAnswers.record(trait, now);
            }
            if (watched.contains(trait) || applied.contains(trait)) {
                answers.add(new TraitAge(trait, Duration.ZERO));
            }
            onAnswered(trait, now);
        }
        reportAnswers(answers, now);
    }

    private void reportAnswers(List<TraitAge> answers, Instant now) {
        answersReportedAt.values().removeIf(at -> now.isAfter(at.plus(ANSWER_REPORT_PAUSE)));
        List<TraitAge> due =
                answers.stream()
                        .filter(each -> !answersReportedAt.containsKey(each.trait()))
                        .toList();
        if (!due.isEmpty()) {
            due.forEach(each -> answersReportedAt.put(each.trait(), now));
            commands.add(new QuarantineCommand.ReportAnswers(due));
        }
    }

    private void onAnswered(RequestTrait trait, Instant answeredAt) {
        evidence.onAnswered(trait, answeredAt);
        boolean sinceLastLoss = convicted.lastLoss(trait).map(answeredAt::isAfter).orElse(true);
        if (role.convicts() && applied.contains(trait) && sinceLastLoss) {
            convicted.remove(trait);
            release(trait, ReleaseReason.ANSWERED, answeredAt);
        }
    }

    private void release(RequestTrait trait, ReleaseReason reason, Instant now) {
        evidence.forget(trait);
        released.put(trait, now);
        commands.add(new QuarantineCommand.LogRelease(trait, reason));
    }

    // Decisions

    private void onDecisionsAnnounced(QuarantineEvent.DecisionsAnnounced decisions, Instant now) {
        announced = decisions.quarantined();
        announcedAt = now;
        watched = decisions.watched().stream().map(TraitAge::trait).collect(Collectors.toSet());
        List<TraitAge> answers = new ArrayList<>();
        for (TraitAge each : decisions.watched()) {
            recentAnswers
                    .lastAnswer(each.trait())
                    .map(at -> new TraitAge(each.trait(), Duration.between(at, now)))
                    .ifPresent(answers::add);
        }
        reportAnswers(answers, now);
    }

    private boolean isAnnouncementValid(Instant now) {
        return now.isBefore(announcedAt.plus(ANNOUNCEMENT_VALIDITY));
    }

    private void onStoredRead(Set<RequestTrait> quarantined, Instant now) {
        Set<RequestTrait> before = stored.traits();
        stored.onRead(quarantined);
        onStoredChanged(before, now);
    }

    /** Uses the record of an older copy of the store if this instance has read no newer one. */
    private void onEarlierRecordRead(QuarantineEvent.EarlierRecordRead read, Instant now) {
        Set<RequestTrait> before = stored.traits();
        if (stored.onEarlierRead(read.quarantined(), read.newer())) {
            onStoredChanged(before, now);
        }
    }

    private void onStoredChanged(Set<RequestTrait> before, Instant now) {
        Set<RequestTrait> removed = new HashSet<>(before);
        removed.removeAll(stored.traits());
        for (RequestTrait trait : removed) {
            if (role.convicts() && convicted.contains(trait)) {
                convicted.remove(trait);
                release(trait, ReleaseReason.REMOVED_FROM_STORE, now);
            }
        }
        if (role == QuarantineRole.DECIDES) {
            takeOver(stored.traits(), now);
        }
    }

    private void takeOver(Set<RequestTrait> traits, Instant now) {
        for (RequestTrait trait : traits) {
            if (!released.containsKey(trait)) {
                convicted.takeOver(trait, now);
            }
        }
    }

    /**
     * Changes the role. An instance that begins to decide takes over what was announced and stored.
     * One that follows another instance hands over its evidence, which that one may not have.
     */
    private void onRoleChanged(QuarantineRole newRole, Instant now) {
        role = newRole;
        if (role.convicts()) {
            takeOver(isAnnouncementValid(now) ? announced : Set.of(), now);
        }
        if (role == QuarantineRole.DECIDES) {
            takeOver(stored.traits(), now);
        }
        if (role == QuarantineRole.FOLLOWS) {
            released.clear();
            Set<RequestTrait> own = new HashSet<>(isAnnouncementValid(now) ? announced : Set.of());
            own.addAll(convicted.traits());
            announced = own;
            announcedAt = now;
            own.forEach(convicted::remove);
            List<ServerLoss> reports =
                    losses.values().stream()
                            .filter(NoticedLoss::isConfirmed)
                            .map(loss -> loss.reported(now))
                            .filter(loss -> !loss.requests().isEmpty())
                            .toList();
            if (!reports.isEmpty()) {
                commands.add(new QuarantineCommand.ReportLosses(reports));
            }
        }
    }

    private void onTick(Instant now) {
        reportCollected(now);
        losses.values().removeIf(loss -> now.isAfter(loss.noticedAt.plus(LOSS_RETENTION)));
        released.keySet().removeIf(trait -> isReleaseSettled(trait, now));
        for (RequestTrait trait : convicted.removeExpired(now)) {
            release(trait, ReleaseReason.EXPIRED, now);
        }
        if (role.convicts()) {
            convicted
                    .takeDueTrial(now)
                    .ifPresent(trait -> commands.add(new QuarantineCommand.AllowTrial(trait)));
        }
    }

    /** Returns whether a released trait is neither stored nor announced by an old message. */
    private boolean isReleaseSettled(RequestTrait trait, Instant now) {
        return !stored.traits().contains(trait)
                && now.isAfter(released.get(trait).plus(ANNOUNCEMENT_VALIDITY));
    }

    private void decide(Instant now) {
        if (!role.convicts() || evidence.size() == 0) {
            return;
        }
        for (CrashEvidence.Conviction conviction : evidence.convict(now)) {
            convicted.add(conviction, now);
            released.remove(conviction.trait());
            commands.add(
                    new QuarantineCommand.LogConviction(
                            conviction.trait(),
                            conviction.losses().size(),
                            conviction.lostRequests()));
        }
    }

    private void apply(Instant now) {
        Set<RequestTrait> current = new HashSet<>(stored.traits());
        if (isAnnouncementValid(now) && role == QuarantineRole.FOLLOWS) {
            current.addAll(announced);
        }
        current.removeAll(released.keySet());
        current.addAll(convicted.traits());
        if (!current.equals(applied)) {
            applied = Set.copyOf(current);
            commands.add(new QuarantineCommand.Apply(applied));
        }
    }

    private void announce(Instant now) {
        if (role != QuarantineRole.DECIDES) {
            return;
        }
        List<TraitAge> close =
                evidence.watched(now).stream()
                        .filter(each -> each.trait().kind() == RequestTrait.Kind.PART)
                        .toList();
        watched = close.stream().map(TraitAge::trait).collect(Collectors.toSet());
        announcer.announce(applied, close, now).ifPresent(commands::add);
    }

    private void store(Instant now) {
        if (role.convicts()) {
            stored.write(wantedInStore(), role == QuarantineRole.DECIDES, now)
                    .ifPresent(traits -> commands.add(new QuarantineCommand.Store(traits)));
        }
    }

    private Set<RequestTrait> wantedInStore() {
        if (role == QuarantineRole.DECIDES) {
            return convicted.traits();
        }
        Set<RequestTrait> wanted = new HashSet<>(stored.traits());
        wanted.removeAll(released.keySet());
        wanted.addAll(convicted.provedBy(goneServers));
        return wanted;
    }
}
