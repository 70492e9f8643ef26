package org.tarragonlug.decision.capacity;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.tarragonlug.id.OperationId;

/**
 * Tracks the record as last known and the one outstanding write.
 *
 * <p>A write is resolved only by a definite answer, or by reading the object at a version above the
 * expected one: the record then holds the operation id, or the write never takes effect, because
 * its condition can hold no more. Until the write is resolved no other one starts, so this
 * process's entry among the last operations cannot be overwritten by itself.
 */
final class RecordWriter {
    private static final Duration READ_RETRY = Duration.ofMillis(500);
    private static final Duration READ_TIMEOUT = Duration.ofSeconds(10);
    private static final Duration FIRST_BACKOFF = Duration.ofMillis(10);
    private static final Duration LONGEST_BACKOFF = Duration.ofSeconds(2);
    private static final Duration RECOVERY_SPREAD = Duration.ofSeconds(2);

    /** A write without a known outcome, with the orders to send once it has taken effect. */
    record Pending(OperationId operation, CapacityRecord record, long version, List<Order> orders) {
        Pending {
            orders = List.copyOf(orders);
        }
    }

    private final CapacitySettings settings;
    private final RandomGenerator random;
    private CapacityRecord record;
    private long version = -1;
    private Pending pending;
    private boolean inFlight;
    private boolean ambiguous;
    private boolean down;
    private boolean readWanted;
    private boolean readFirst;
    private Instant readSentAt;
    private Instant nextRead = Instant.MIN;
    private Instant nextWrite = Instant.MIN;
    private int fruitlessWrites;
    private Instant writeSentAt = Instant.MIN;
    private Instant knownSince = Instant.EPOCH;
    private Instant knownUntil = Instant.MIN;

    RecordWriter(CapacitySettings settings, RandomGenerator random) {
        this.settings = settings;
        this.random = random;
        this.record = CapacityRecord.empty(settings.group());
    }

    /** Returns the record as last known; empty before the first read. */
    CapacityRecord record() {
        return record;
    }

    Optional<Pending> pending() {
        return Optional.ofNullable(pending);
    }

    boolean isDown() {
        return down;
    }

    boolean isKnown() {
        return version >= 0;
    }

    /** Returns since when this process has known every version of the record. */
    Instant knownSince() {
        return knownSince;
    }

    /** Returns until when it is certain that nobody else has changed the record. */
    Instant knownUntil() {
        return knownUntil;
    }

    boolean mayWrite(Instant now) {
        return !down && !readFirst && isKnown() && pending == null && !now.isBefore(nextWrite);
    }

    void wantRead() {
        readWanted = true;
    }

    void apiDown() {
        down = true;
    }

    void apiUp(Instant now) {
        if (down) {
            down = false;
            readWanted = true;
            readFirst = true;
            nextRead = now;
            nextWrite = now.plusMillis(random.nextLong(RECOVERY_SPREAD.toMillis()));
        }
    }

    CapacityCommand start(
            OperationId operation, CapacityRecord changed, List<Order> orders, Instant now) {
        writeSentAt = now;
        pending = new Pending(operation, changed, version, orders);
        ambiguous = false;
        inFlight = true;
        return new CapacityCommand.WriteRecord(operation, changed, version);
    }

    /** Returns the orders that may be sent when this answer resolves the write. */
    List<Order> done(OperationId operation, long newVersion) {
        if (!isPending(operation)) {
            return List.of();
        }
        List<Order> orders = pending.orders();
        record = pending.record();
        version = newVersion;
        fruitlessWrites = 0;
        knownUntil = writeSentAt;
        resolve();
        return orders;
    }

    void conflict(OperationId operation, Instant now) {
        if (isPending(operation)) {
            inFlight = false;
            readWanted = true;
            backOff(now);
        }
    }

    void unknown(OperationId operation, Instant now) {
        if (isPending(operation)) {
            inFlight = false;
            ambiguous = true;
            readWanted = true;
            backOff(now);
        }
    }

    void notDone(OperationId operation, Instant now) {
        if (isPending(operation)) {
            backOff(now);
            inFlight = false;
            if (ambiguous) {
                readWanted = true;
            } else {
                resolve();
            }
        }
    }

    void readFailed(Instant now) {
        readSentAt = null;
        readWanted = true;
        nextRead = now.plus(READ_RETRY);
    }

    /** Takes a read record; returns the orders that may be sent when it resolves the write. */
    List<Order> read(Optional<CapacityRecord> found, long foundVersion, Instant now) {
        Instant sentAt = readSentAt;
        readSentAt = null;
        readFirst = false;
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

    /** Returns the read, or the repeated write, that is due now. */
    List<CapacityCommand> due(Instant now) {
        List<CapacityCommand> commands = new ArrayList<>();
        if (down) {
            return commands;
        }
        if (readSentAt != null && readSentAt.plus(READ_TIMEOUT).isBefore(now)) {
            readSentAt = null;
            readWanted = true;
        }
        if (readWanted && readSentAt == null && !now.isBefore(nextRead)) {
            readWanted = false;
            readSentAt = now;
            commands.add(new CapacityCommand.ReadRecord());
        }
        boolean unresolved = pending != null && !inFlight && !readWanted && readSentAt == null;
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
            knownSince = now;
        }
        if (sentAt != null) {
            knownUntil = sentAt;
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
        fruitlessWrites = Math.min(fruitlessWrites + 1, 8);
        long longest =
                Math.min(FIRST_BACKOFF.toMillis() << fruitlessWrites, LONGEST_BACKOFF.toMillis());
        nextWrite = now.plusMillis(1 + random.nextLong(longest));
    }
}
