package org.tarragonlug.decision.ownership;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.tarragonlug.id.FencingToken;
import org.tarragonlug.id.InstanceId;
import org.tarragonlug.id.StoreEra;
import org.tarragonlug.id.StorePosition;

/** Leads one lease manager through a store's eras, event by event, in virtual time. */
final class LeaseScript {
    private static final Duration STEP = Duration.ofMillis(20);

    final LeaseManager manager;
    private Instant now = Instant.ofEpochSecond(1000);
    private StoreEra era = StoreEra.NONE;
    private Instant eraSince = now;

    /**
     * Creates a script for a process that has not reached the store yet.
     *
     * @param firstStart whether the whole system starts for the first time
     */
    LeaseScript(String instance, boolean firstStart) {
        manager =
                new LeaseManager(
                        new InstanceId(instance),
                        processOf(instance),
                        addressOf(instance),
                        LeaseSimulation.TURN,
                        firstStart);
    }

    /** Creates a script for a process that acquired the lease in the first era, as revision 1. */
    static LeaseScript ofFirstHolder(String instance) {
        LeaseScript script = new LeaseScript(instance, true);
        script.enterEra(1);
        script.readMissing();
        script.written(script.nextWrite(null), 1);
        return script;
    }

    private static String addressOf(String instance) {
        return instance + ".example:1";
    }

    static String processOf(String instance) {
        return instance + "-present";
    }

    /** Returns a record that a process wrote in an era, as it is stored in the present era. */
    LeaseRecord stored(String holder, String process, long fence, long writtenIn, long revision) {
        return new LeaseRecord(
                new InstanceId(holder),
                process,
                addressOf(holder),
                new FencingToken(fence),
                1,
                true,
                false,
                new StoreEra(writtenIn),
                new StorePosition(era, revision));
    }

    static LeaseRecord released(LeaseRecord record, boolean ordering) {
        return new LeaseRecord(
                record.holder(),
                record.process(),
                record.address(),
                record.fence(),
                record.renewal(),
                ordering,
                true,
                record.writtenIn(),
                record.position());
    }

    Instant now() {
        return now;
    }

    /** Returns when the present era was learnt. */
    Instant eraSince() {
        return eraSince;
    }

    /** Lets time pass; the store does not answer. */
    void pass(Duration time) {
        Instant end = now.plus(time);
        while (now.isBefore(end)) {
            now = now.plus(STEP);
            if (!tick().isEmpty()) {
                manager.handle(new LeaseEvent.CallFailed(), now);
            }
        }
    }

    List<LeaseCommand> tick() {
        return manager.handle(new LeaseEvent.Tick(), now);
    }

    void enterEra(long value) {
        era = new StoreEra(value);
        eraSince = now;
        manager.handle(new LeaseEvent.StoreEraChanged(era), now);
    }

    void readMissing() {
        read(Optional.empty());
    }

    void read(LeaseRecord found) {
        read(Optional.of(found));
    }

    private void read(Optional<LeaseRecord> found) {
        manager.handle(new LeaseEvent.Read(found), now);
    }

    void written(LeaseRecord record, long revision) {
        LeaseRecord stored = record.at(new StorePosition(era, revision));
        manager.handle(new LeaseEvent.Written(stored, now), now);
    }

    void stated(boolean holding, long inEra, long revision) {
        StorePosition renewedAt = new StorePosition(new StoreEra(inEra), revision);
        manager.handle(new LeaseEvent.HolderResponded(holding, renewedAt), now);
    }

    /** Returns what the manager writes within 10 s, during which each read finds this. */
    LeaseRecord nextWrite(LeaseRecord found) {
        Instant end = now.plusSeconds(10);
        while (now.isBefore(end)) {
            now = now.plus(STEP);
            for (LeaseCommand command : tick()) {
                if (command instanceof LeaseCommand.Write write) {
                    return write.record();
                }
                if (command instanceof LeaseCommand.Read) {
                    read(Optional.ofNullable(found));
                }
            }
        }
        throw new AssertionError("no write within 10 s");
    }

    /** Returns whether the manager writes within a time, in which each read finds the same. */
    boolean writesWithin(Duration time, LeaseRecord found) {
        Instant end = now.plus(time);
        while (now.isBefore(end)) {
            now = now.plus(STEP);
            for (LeaseCommand command : tick()) {
                if (command instanceof LeaseCommand.Write) {
                    return true;
                }
                if (command instanceof LeaseCommand.Read) {
                    read(Optional.ofNullable(found));
                }
            }
        }
        return false;
    }

    /** Renews the lease whenever the manager wants to; returns when it first may order. */
    Duration untilOrders(LeaseRecord acquired, long revision) {
        Instant start = now;
        long stored = revision;
        written(acquired, stored);
        while (!manager.mayOrder(now)) {
            now = now.plus(STEP);
            for (LeaseCommand command : tick()) {
                if (command instanceof LeaseCommand.Write write) {
                    stored++;
                    written(write.record(), stored);
                }
            }
            if (now.isAfter(start.plusSeconds(60))) {
                throw new AssertionError("no order within 60 s");
            }
        }
        return Duration.between(start, now);
    }
}
