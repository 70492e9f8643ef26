package org.tarragonlug.decision.forwarding;

import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.tarragonlug.id.ServerId;

/**
 * Sends a request to a second server while the first one is silent.
 *
 * <p>A model server is first asked to reserve a slot ({@link SlotReservations}). What follows holds
 * for plain services, and for model servers that reserve no slots.
 *
 * <p>A silent server may be lost or only slow, and the second server may refuse the request.
 * Therefore the first attempt stays open until the second server has begun to answer; then the
 * second attempt takes its place, and the first one is cancelled before anything of the second
 * answer is relayed. If the first server goes on earlier, the second attempt is cancelled instead.
 * So a refusal costs the caller nothing, and a request is answered by one server at a time.
 *
 * <p>Only requests that may run more than once have a second attempt. It counts as a retry and as a
 * possible run.
 */
final class BackupAttempts {
    /** How long a request without a suitable second server waits until one is looked for again. */
    private static final Duration SEARCH_PAUSE = Duration.ofMillis(150);

    private final RequestDispatcher dispatcher;
    private final SlotReservations reservations;
    private final RetryBudgets budgets;
    private final QuarantineGate gate;
    private final Consumer<ForwardingCommand> output;

    /**
     * Creates the part that sends requests to second servers.
     *
     * @param dispatcher selects servers and sends requests
     * @param reservations moves requests to servers that reserve slots
     * @param budgets limits retries
     * @param gate requests that must not reach servers
     * @param output receives the commands
     */
    BackupAttempts(
            RequestDispatcher dispatcher,
            SlotReservations reservations,
            RetryBudgets budgets,
            QuarantineGate gate,
            Consumer<ForwardingCommand> output) {
        this.dispatcher = dispatcher;
        this.reservations = reservations;
        this.budgets = budgets;
        this.gate = gate;
        this.output = output;
    }

    /** Sends a request to a second server if the first one has been silent for too long. */
    void checkSilence(PendingForward forward, Instant now) {
        if (isSilent(forward, forward.primary, now)
                && forward.requestedSlot.isEmpty()
                && forward.backup.stream().allMatch(backup -> isSilent(forward, backup, now))) {
            begin(forward, now);
        }
    }

    /** Tells whether an attempt is silent, and counts that against its server. */
    private static boolean isSilent(PendingForward forward, OpenAttempt attempt, Instant now) {
        if (!attempt.isSilent(forward.route, now)) {
            return false;
        }
        if (!attempt.stallCounted) {
            attempt.stallCounted = true;
            attempt.server.recordStall(now);
        }
        return true;
    }

    /** Begins a second attempt, in place of one that is silent as well. */
    private void begin(PendingForward forward, Instant now) {
        if (!forward.mayRunAgain()
                || now.isBefore(forward.sendAllowedAt)
                || now.isBefore(forward.backupAllowedAt)) {
            return;
        }
        Optional<FleetServer> other = chooseOther(forward, now);
        if (other.isEmpty() || gate.concerns(forward)) {
            forward.backupAllowedAt = now.plus(SEARCH_PAUSE);
            return;
        }
        if (forward.needsModel() && forward.backup.isEmpty() && other.get().reservesSlots()) {
            reservations.request(forward, other.get(), now);
            return;
        }
        if (!budgets.tryAcquire(forward.service, now)) {
            forward.backupAllowedAt = now.plus(SEARCH_PAUSE);
            return;
        }
        forward.lostAddresses.add(forward.primary.address);
        forward.backup.ifPresent(silent -> withdraw(forward, silent));
        dispatcher.sendBackup(forward, other.get(), now);
    }

    private void withdraw(PendingForward forward, OpenAttempt silentBackup) {
        forward.excluded.add(silentBackup.server.id());
        forward.lostAddresses.add(silentBackup.address);
        cancel(forward, CancelReason.SERVER_SILENT);
    }

    /**
     * Prefers a server that has not refused the request. If no other attempt is open than that of
     * the silent server, a begun stream, and any request for a model, goes to one that has refused
     * it after a while.
     */
    private Optional<FleetServer> chooseOther(PendingForward forward, Instant now) {
        Set<ServerId> present = new HashSet<>();
        present.add(forward.primary.server.id());
        forward.backup.ifPresent(backup -> present.add(backup.server.id()));
        Set<ServerId> excluded = new HashSet<>(forward.excluded);
        excluded.addAll(present);
        Optional<FleetServer> fresh = dispatcher.choose(forward, excluded, now);
        boolean mayReturn =
                (forward.streamStarted || forward.needsModel())
                        && forward.backup.isEmpty()
                        && !now.isBefore(forward.sameServerAllowedAt);
        return mayReturn ? fresh.or(() -> dispatcher.choose(forward, present, now)) : fresh;
    }

    /** Lets the second attempt, whose server has begun to answer, take the place of the first. */
    void promote(PendingForward forward) {
        OpenAttempt silent = forward.primary;
        forward.excluded.add(silent.server.id());
        end(silent, CancelReason.OTHER_SERVER_ANSWERS);
        forward.promoteBackup();
    }

    /** Cancels the second attempt, if there is one. */
    void cancel(PendingForward forward, CancelReason reason) {
        forward.backup.ifPresent(backup -> end(backup, reason));
        forward.backup = Optional.empty();
    }

    private void end(OpenAttempt attempt, CancelReason reason) {
        attempt.server.onRequestEnded();
        output.accept(new ForwardingCommand.CancelAttempt(attempt.id, reason));
    }
}
