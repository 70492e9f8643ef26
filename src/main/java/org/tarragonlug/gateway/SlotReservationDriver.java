package org.tarragonlug.gateway;

import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import org.tarragonlug.decision.forwarding.ForwardingCommand;
import org.tarragonlug.decision.forwarding.ForwardingEvent;
import org.tarragonlug.decision.forwarding.SlotRefusal;
import org.tarragonlug.error.ErrorCode;
import org.tarragonlug.id.ReservationId;
import org.tarragonlug.platform.PlatformEngineClient;
import org.tarragonlug.runtime.Addresses;

/** Makes the calls that reserve and release slots at model servers. */
final class SlotReservationDriver {
    private final PlatformEngineClient engines;
    private final GatewayMetrics metrics;
    private final Executor loop;

    /**
     * Creates a driver.
     *
     * @param engines client for all model servers
     * @param metrics counts the answers
     * @param loop the event loop on which answers are handed over
     */
    SlotReservationDriver(PlatformEngineClient engines, GatewayMetrics metrics, Executor loop) {
        this.engines = engines;
        this.metrics = metrics;
        this.loop = loop;
    }

    /**
     * Asks a server to reserve a slot.
     *
     * @param output receives the answer, also if the server gives none
     */
    void reserve(ForwardingCommand.ReserveSlot command, Consumer<ForwardingEvent> output) {
        Optional<InetSocketAddress> address = Addresses.parse(command.address());
        if (address.isEmpty()) {
            loop.execute(() -> output.accept(refused(command, SlotRefusal.NO_ROOM)));
            return;
        }
        engines.reserveSlot(command.server(), address.get(), command.tokens())
                .whenCompleteAsync(
                        (slot, failure) -> output.accept(answer(command, slot, failure)), loop);
    }

    private ForwardingEvent answer(
            ForwardingCommand.ReserveSlot command, ReservationId slot, Throwable failure) {
        if (failure == null) {
            metrics.recordReservedSlot();
            return new ForwardingEvent.SlotReserved(
                    command.attempt(), command.server(), command.address(), slot);
        }
        boolean unknown = RelayingObjectApi.code(failure) == ErrorCode.BACKEND_CALL_UNKNOWN;
        return refused(command, unknown ? SlotRefusal.NOT_SUPPORTED : SlotRefusal.NO_ROOM);
    }

    private ForwardingEvent refused(ForwardingCommand.ReserveSlot command, SlotRefusal refusal) {
        metrics.recordRefusedSlot(refusal);
        return new ForwardingEvent.SlotNotReserved(command.attempt(), refusal);
    }

    /** Releases a slot that is not needed. */
    void release(ForwardingCommand.ReleaseSlot command) {
        Addresses.parse(command.address())
                .ifPresent(
                        address ->
                                engines.releaseSlot(
                                        command.server(), address, command.reservation()));
    }
}
