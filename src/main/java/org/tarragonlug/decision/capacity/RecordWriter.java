package org.tarragonlug.decision.capacity;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.tarragonlug.id.OperationId;

/**
 * Tracks the last known record and the single outstanding write.
 *
 * <p>A write is resolved only by a definite answer, or by reading the object at a version above the
 * expected one. In the second case, either the record that was read contains the operation id of
 * the write, or the write can never take effect, because its condition on the version cannot hold
 * any more. No other write starts until the write is resolved, so this process cannot overwrite its
 * own entry among the last operations.
 */
final class RecordWriter {
    private static final Duration READ_RETRY = Duration.ofMillis(500);
    private static final Duration READ_TIMEOUT = Duration.ofSeconds(10);
    private static final Duration FIRST_BACKOFF = Duration.ofMillis(10);
    private static final Duration MAX_BACKOFF = Duration.ofSeconds(2);

    /** After an outage, the first write is delayed by a random time below this. */
    private static final Duration RECOVERY_SPREAD = Duration.ofSeconds(2);

    /**
     * A write whose outcome is not known yet, with the orders to send after it has taken effect.
     */
    record PendingWrite(
            OperationId operation, CapacityRecord record, long version, List<Order> orders) {
        PendingWrite {
            orders = List.copyOf(orders);
        }
    }

    private final CapacitySettings settings;
    private final RandomGenerator random;
    private CapacityRecord record;
    private long version = -1;
    private PendingWrite pending;
    private boolean inFlight;

    /**
     * Whether a transmission of the pending write got no answer, so that it may take effect later.
     */
    private boolean ambiguous;

    private boolean apiDown;
    private boolean readRequested;

    /** Whether the record must be read before the next write, because an outage has ended. */
    private boolean readBeforeWrite;

    private Instant readSentAt;
    private Instant nextRead = Instant.MIN;
    private Instant nextWrite = Instant.MIN;
    private int failedWrites;
    private Instant writeSentAt = Instant.MIN;
    private Instant allVersionsKnownSince = Instant.EPOCH;
    private Instant allVersionsKnownUntil = Instant.MIN;

    RecordWriter(CapacitySettings settings, RandomGenerator random) {
        this.settings = settings;
        this.random = random;
        this.record = CapacityRecord.empty(settings.group());
    }

    /** Returns the last known record; an empty record before the first read. */
    CapacityRecord record() {
        return record;
    }

    Optional<PendingWrite> pending() {
        return Optional.ofNullable(pending);
    }

    boolean isApiDown() {
        return apiDown;
    }

    boolean hasRead() {
        return version >= 0;
    }

    /**
     * Returns the start of the interval in which this process knows every version of the record.
     */
    Instant allVersionsKnownSince() {
        return allVersionsKnownSince;
    }

    /** Returns the end of the interval in which this process knows every version of the record. */
    Instant allVersionsKnownUntil() {
        return allVersionsKnownUntil;
    }

    boolean mayWrite(Instant now) {
        return !apiDown
                && !readBeforeWrite
                && hasRead()
                && pending == null
                && !now.isBefore(nextWrite);
    }

    void requestRead() {
        readRequested = true;
    }

    void onApiDown() {
        apiDown = true;
    }

    void onApiUp(Instant now) {
        if (apiDown) {
            apiDown = false;
            readRequested = true;
            readBeforeWrite = true;
            nextRead = now;
            nextWrite = now.plusMillis(random.nextLong(RECOVERY_SPREAD.toMillis()));
        }
    }

    CapacityCommand startWrite(
            OperationId operation, CapacityRecord changed, List<Order> orders, Instant now) {
        writeSentAt = now;
        pending = new PendingWrite(operation, changed, version, orders);
        ambiguous = false;
        inFlight = true;
        return new CapacityCommand.WriteRecord(operation, changed, version);
    }

    /**
     * Applies the success of a write. Returns the orders that may be sent because the write is
     * resolved.
     */
    List<Order> onWriteDone(OperationId operation, long newVersion) {
        if (!isPending(operation)) {
            return List.of();
        }
        List<Order> orders = pending.orders();
        record = pending.record();
        version = newVersion;
        failedWrites = 0;
        allVersionsKnownUntil = writeSentAt;
        resolve();
        return orders;
    }

    void onWriteConflict(OperationId operation, Instant now) {
        if (isPending(operation)) {
            inFlight = false;
            readRequested = true;
            backOff(now);
        }
    }

    void onWriteOutcomeUnknown(OperationId operation, Instant now) {
        if (isPending(operation)) {
            inFlight = false;
            ambiguous = true;
            readRequested = true;
            backOff(now);
        }
    }

    void onWriteNotDone(OperationId operation, Instant now) {
        if (isPending(operation)) {
            backOff(now);
            inFlight = false;
            if (ambiguous) {
                readRequested = true;
            } else {
                resolve();
            }
        }
    }

    void onReadFailed(Instant now) {
        readSentAt = null;
        readRequested = true;
        nextRead = now.plus(READ_RETRY);
    }

    /**
     * Applies a record that was read. Returns the orders that may be sent if the read resolves the
     * write.
     */
    List<Order> onRecordRead(Optional<CapacityRecord> found, long foundVersion, Instant now) {
        Instant sentAt = readSentAt;
        readSentAt = null;
        readBeforeWrite = false;
        if (inFlight || foundVersion < version) {
            return List.of();
        }
        if (pending == null) {
            accept(found, foundVersion, sentAt, now);
            return List.of();
        }
        if (foundVersion == pending.version()) {
            return List.of();
        }
        accept(found, foundVersion, sentAt, now);
        boolean tookEffect =
                pending.operation().equals(record.lastOperations().get(settings.process()));
        List<Order> orders = tookEffect ? pending.orders() : List.of();
        resolve();
        return orders.stream().filter(this::isStillOpen).toList();
    }

    /** Returns the read or the repeated write that is due now. */
    List<CapacityCommand> dueCommands(Instant now) {
        List<CapacityCommand> commands = new ArrayList<>();
        if (apiDown) {
            return commands;
        }
        if (readSentAt != null && readSentAt.plus(READ_TIMEOUT).isBefore(now)) {
            readSentAt = null;
            readRequested = true;
        }
        if (readRequested && readSentAt == null && !now.isBefore(nextRead)) {
            readRequested = false;
            readSentAt = now;
            commands.add(new CapacityCommand.ReadRecord());
        }
        boolean unresolved = pending != null && !inFlight && !readRequested && readSentAt == null;
        if (unresolved && !now.isBefore(nextWrite)) {
            inFlight = true;
            ambiguous = true;
            commands.add(
                    new CapacityCommand.WriteRecord(
                            pending.operation(), pending.record(), pending.version()));
        }
        return commands;
    }

    private boolean isStillOpen(Order order) {
        return record.slot(order.artifact(), order.server())
                .flatMap(slot -> slot.order(order.operation()))
                .isPresent();
    }

    private void accept(
            Optional<CapacityRecord> found, long foundVersion, Instant sentAt, Instant now) {
        if (foundVersion != version) {
            allVersionsKnownSince = now;
        }
        if (sentAt != null) {
            allVersionsKnownUntil = sentAt;
        }
        record = found.orElseGet(() -> CapacityRecord.empty(settings.group()));
        version = foundVersion;
    }

    private boolean isPending(OperationId operation) {
        return pending != null && pending.operation().equals(operation);
    }

    private void resolve() {
        pending = null;
        inFlight = false;
        ambiguous = false;
    }

    private void backOff(Instant now) {
        failedWrites = Math.min(failedWrites + 1, 8);
        long longest = Math.min(FIRST_BACKOFF.toMillis() << failedWrites, MAX_BACKOFF.toMillis());
        nextWrite = now.plusMillis(1 + random.nextLong(longest));
    }
}
