package org.tarragonlug.decision.forwarding;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.function.Consumer;
import org.tarragonlug.id.ReservationId;

/**
 * Moves a request from a silent model server to another one that has reserved a slot for it.
 *
 * <p>The request stays at its server until the slot is reserved. Then it is cancelled there, and
 * only after that sent to the other server, which admits it ahead of all that wait. So a server
 * without room costs the caller nothing, and no two servers work on the request, however slow this
 * process is. A server that breaks off, or refuses after all, after it has reserved the slot does
 * end the request if that may not run once more. A reservation that comes too late is released, and
 * one that is not used ends by itself.
 */
final class SlotReservations {
    /** How long no slot is asked for after one was reserved and not used. */
    private static final Duration UNUSED_SLOT_PAUSE = Duration.ofMillis(500);

    private final Fleet fleet;
    private final RequestDispatcher dispatcher;
    private final RetryBudgets budgets;
    private final QuarantineGate gate;
    private final PendingForwards pending;
    private final Consumer<ForwardingCommand> output;

    /**
     * Creates the part that reserves slots.
     *
     * @param fleet the known servers
     * @param dispatcher sends requests
     * @param budgets limits retries
     * @param gate requests that must not reach servers
     * @param pending the requests that have not ended
     * @param output receives the commands
     */
    SlotReservations(
            Fleet fleet,
            RequestDispatcher dispatcher,
            RetryBudgets budgets,
            QuarantineGate gate,
            PendingForwards pending,
            Consumer<ForwardingCommand> output) {
        this.fleet = fleet;
        this.dispatcher = dispatcher;
        this.budgets = budgets;
        this.gate = gate;
        this.pending = pending;
        this.output = output;
    }

    /** Asks a server to reserve a slot for a request. */
    void request(PendingForward forward, FleetServer server, Instant now) {
        forward.lastAttempt = forward.lastAttempt.next();
        String address = server.listing().address();
        forward.requestedSlot =
                Optional.of(new RequestedSlot(forward.lastAttempt, server, server.incarnation()));
        output.accept(
                new ForwardingCommand.ReserveSlot(
                        forward.lastAttempt, server.id(), address, forward.request.tokens()));
    }

    /** Handles that a server has reserved a slot: moves the request there if it is still silent. */
    void onReserved(ForwardingEvent.SlotReserved event, Instant now) {
        Optional<PendingForward> forward = find(event.attempt());
        Optional<RequestedSlot> slot = forward.map(PendingForward::takeRequestedSlot);
        if (slot.isPresent() && mayMove(forward.get(), slot.get(), now)) {
            move(forward.get(), slot.get(), event.reservation(), now);
        } else {
            forward.ifPresent(each -> each.backupAllowedAt = now.plus(UNUSED_SLOT_PAUSE));
            output.accept(
                    new ForwardingCommand.ReleaseSlot(
                            event.server(), event.address(), event.reservation()));
        }
    }

    /** Handles that a server has reserved no slot. The request stays at its server. */
    void onRefused(ForwardingEvent.SlotNotReserved event, Instant now) {
        Optional<PendingForward> found = find(event.attempt());
        if (found.isEmpty()) {
            return;
        }
        PendingForward forward = found.get();
        RequestedSlot slot = forward.takeRequestedSlot();
        if (event.refusal() == SlotRefusal.NOT_SUPPORTED) {
            slot.server().setReservesSlots(false);
        } else {
            forward.excluded.add(slot.server().id());
            forward.refusedSlots++;
            RetryPause.afterRefusedSlot(forward, now);
        }
    }

    /** Returns the request for which a slot was asked under a number, if it still waits for it. */
    private Optional<PendingForward> find(ForwardAttempt attempt) {
        return pending.find(attempt.request())
                .filter(
                        forward ->
                                forward.requestedSlot
                                        .filter(slot -> slot.attempt().equals(attempt))
                                        .isPresent());
    }

    private boolean mayMove(PendingForward forward, RequestedSlot slot, Instant now) {
        return !forward.isWaiting()
                && forward.backup.isEmpty()
                && forward.primary.isSilent(forward.route, now)
                && forward.mayRunAgain()
                && fleet.admitsChosenRequest(slot.incarnation(), now)
                && slot.server().canRun(forward.service, forward.request.model(), now)
                && !gate.concerns(forward)
                && budgets.tryAcquire(forward.service, now);
    }

    private void move(
            PendingForward forward, RequestedSlot slot, ReservationId reservation, Instant now) {
        OpenAttempt silent = forward.primary;
        forward.excluded.add(silent.server.id());
        forward.lostAddresses.add(silent.address);
        silent.server.onRequestEnded();
        output.accept(new ForwardingCommand.CancelAttempt(silent.id, CancelReason.SLOT_RESERVED));
        dispatcher.sendReserved(forward, slot.server(), reservation, now);
    }
}
