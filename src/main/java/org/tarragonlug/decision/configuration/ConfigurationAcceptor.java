package org.tarragonlug.decision.configuration;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import org.tarragonlug.decision.StateMachine;
import org.tarragonlug.id.ConfigurationVersion;
import org.tarragonlug.id.OperationId;
import org.tarragonlug.id.ProcessId;
import org.tarragonlug.id.ServerGroup;

/**
 * Checks the operators' tables and accepts them, at the configuration owner.
 *
 * <p>Two owners at once are safe: the accepted configuration is one object, written only on
 * condition that it is still the one that was read. A stale read cannot revert it: the condition
 * then fails, and tables older than those the accepted configuration was made from are never taken.
 * After a lost answer the object is read back: the operation id shows whether the write took
 * effect; if the object is unchanged, the same write is repeated, which can take effect only once;
 * if it was changed by somebody else, the write never will.
 *
 * <p>Tables that fail the check leave the accepted configuration in force; the status says why. Two
 * tables that are edited one after the other may fail the check in between, which is harmless.
 */
public final class ConfigurationAcceptor implements StateMachine<AcceptorEvent, AcceptorCommand> {
    /** Longer than any time limit of the object API adapter; an answer that late counts as lost. */
    private static final Duration ANSWER_TIMEOUT = Duration.ofSeconds(10);

    private static final Duration RETRY_DELAY = Duration.ofMillis(500);

    /** Reading again now and then makes up for a change that a watch missed. */
    private static final Duration RECHECK_PERIOD = Duration.ofSeconds(30);

    private final ProcessId process;
    private final Supplier<OperationId> operations;
    private boolean owner;
    private boolean dirty;
    private long number;
    private Optional<Instant> awaitedSince = Optional.empty();
    private Optional<AcceptorCommand.WriteAccepted> write = Optional.empty();
    private Instant nextRead = Instant.EPOCH;
    private long highestObjectVersion;
    private ConfigurationVersion highest = ConfigurationVersion.NONE;
    private Optional<ConfigurationStatus> lastStatus = Optional.empty();
    private Map<ServerGroup, Long> serverMemory = Map.of();

    /**
     * Creates an acceptor that is not the owner.
     *
     * @param process the own process
     * @param operations makes operation ids that no process ever used
     */
    public ConfigurationAcceptor(ProcessId process, Supplier<OperationId> operations) {
        this.process = process;
        this.operations = operations;
    }

    @Override
    public List<AcceptorCommand> handle(AcceptorEvent event, Instant now) {
        List<AcceptorCommand> commands = new ArrayList<>();
        if (event instanceof AcceptorEvent.OwnershipChanged changed) {
            changeOwner(changed.owner(), now);
        } else if (event instanceof AcceptorEvent.TablesChanged) {
            readSoon(now);
        } else if (event instanceof AcceptorEvent.ServerMemoryKnown known) {
            if (!serverMemory.equals(known.largest())) {
                serverMemory = known.largest();
                readSoon(now);
            }
        } else if (event instanceof AcceptorEvent.ReadDone read) {
            if (isAwaited(read.number())) {
                evaluate(read, now, commands);
            }
        } else if (event instanceof AcceptorEvent.ReadFailed failed) {
            if (isAwaited(failed.number())) {
                readAfter(now, RETRY_DELAY);
            }
        } else if (event instanceof AcceptorEvent.WriteEnded ended) {
            if (isAwaited(ended.number())) {
                endWrite(ended.outcome(), now, commands);
            }
        }
        proceed(now, commands);
        return commands;
    }

    private void changeOwner(boolean isOwner, Instant now) {
        if (isOwner == owner) {
            return;
        }
        owner = isOwner;
        write = Optional.empty();
        awaitedSince = Optional.empty();
        lastStatus = Optional.empty();
        number++;
        readSoon(now);
    }

    private boolean isAwaited(long answered) {
        if (awaitedSince.isEmpty() || answered != number) {
            return false;
        }
        awaitedSince = Optional.empty();
        return true;
    }

    private void readSoon(Instant now) {
        dirty = true;
        nextRead = now;
    }

    private void readAfter(Instant now, Duration delay) {
        dirty = true;
        nextRead = now.plus(delay);
    }

    /** Sends the next read when one is due and nothing is awaited. */
    private void proceed(Instant now, List<AcceptorCommand> commands) {
        if (!owner) {
            return;
        }
        if (awaitedSince.filter(since -> now.isAfter(since.plus(ANSWER_TIMEOUT))).isPresent()) {
            awaitedSince = Optional.empty();
            readSoon(now);
        }
        if (awaitedSince.isPresent() || now.isBefore(nextRead)) {
            return;
        }
        if (!dirty && now.isBefore(nextRead.plus(RECHECK_PERIOD))) {
            return;
        }
        dirty = false;
        nextRead = now;
        number++;
        awaitedSince = Optional.of(now);
        commands.add(new AcceptorCommand.Read(number));
    }

    private void evaluate(
            AcceptorEvent.ReadDone read, Instant now, List<AcceptorCommand> commands) {
        if (read.acceptedObjectVersion() < highestObjectVersion) {
            readAfter(now, RETRY_DELAY);
            return;
        }
        noteAccepted(read, commands);
        if (write.isPresent() && resolveWrite(read, now, commands)) {
            return;
        }
        long usedRoutes = read.accepted().map(AcceptedConfiguration::routesVersion).orElse(0L);
        long usedPools = read.accepted().map(AcceptedConfiguration::poolsVersion).orElse(0L);
        long routesVersion = read.routes().objectVersion();
        long poolsVersion = read.pools().objectVersion();
        List<TableFault> older = new ArrayList<>();
        checkAge("routes", routesVersion, usedRoutes, older);
        checkAge("pools", poolsVersion, usedPools, older);
        if (!older.isEmpty()) {
            report(routesVersion, poolsVersion, older, now, commands);
            readAfter(now, RETRY_DELAY);
            return;
        }
        boolean isNew = routesVersion > usedRoutes || poolsVersion > usedPools;
        List<TableFault> faults = isNew ? faults(read) : List.of();
        if (isNew && faults.isEmpty()) {
            writeNext(read, now, commands);
        } else {
            report(routesVersion, poolsVersion, faults, now, commands);
        }
    }

    private static void checkAge(
            String table, long objectVersion, long usedVersion, List<TableFault> faults) {
        if (objectVersion < usedVersion) {
            faults.add(
                    new TableFault(
                            "$." + table,
                            "object version "
                                    + objectVersion
                                    + " is older than the accepted "
                                    + usedVersion,
                            "wait; if this stays, the table was deleted: write it again until its"
                                    + " version is greater"));
        }
    }

    private void noteAccepted(AcceptorEvent.ReadDone read, List<AcceptorCommand> commands) {
        highestObjectVersion = read.acceptedObjectVersion();
        if (read.accepted().isEmpty()) {
            return;
        }
        AcceptedConfiguration accepted = read.accepted().get();
        if (accepted.version().compareTo(highest) > 0) {
            highest = accepted.version();
            commands.add(new AcceptorCommand.Accepted(accepted));
        }
    }

    /**
     * Finds out what became of a write without an answer.
     *
     * @return whether the write was sent again
     */
    private boolean resolveWrite(
            AcceptorEvent.ReadDone read, Instant now, List<AcceptorCommand> commands) {
        AcceptorCommand.WriteAccepted unknown = write.get();
        boolean tookEffect =
                read.accepted()
                        .map(AcceptedConfiguration::operation)
                        .filter(unknown.content().operation()::equals)
                        .isPresent();
        if (tookEffect || read.acceptedObjectVersion() != unknown.expectedObjectVersion()) {
            write = Optional.empty();
            return false;
        }
        send(unknown.content(), unknown.expectedObjectVersion(), now, commands);
        return true;
    }

    private List<TableFault> faults(AcceptorEvent.ReadDone read) {
        List<TableFault> faults = new ArrayList<>();
        faults.addAll(read.routes().faults());
        faults.addAll(read.pools().faults());
        if (faults.isEmpty()) {
            faults.addAll(
                    TableChecker.check(read.routes().rows(), read.pools().rows(), serverMemory));
        }
        return faults;
    }

    private void writeNext(
            AcceptorEvent.ReadDone read, Instant now, List<AcceptorCommand> commands) {
        ConfigurationVersion current =
                read.accepted()
                        .map(AcceptedConfiguration::version)
                        .orElse(ConfigurationVersion.NONE);
        Configuration next =
                new Configuration(current.next(), read.routes().rows(), read.pools().rows());
        AcceptedConfiguration content =
                new AcceptedConfiguration(
                        next,
                        read.routes().objectVersion(),
                        read.pools().objectVersion(),
                        operations.get(),
                        process,
                        now);
        send(content, read.acceptedObjectVersion(), now, commands);
    }

    private void send(
            AcceptedConfiguration content,
            long expectedObjectVersion,
            Instant now,
            List<AcceptorCommand> commands) {
        number++;
        awaitedSince = Optional.of(now);
        AcceptorCommand.WriteAccepted command =
                new AcceptorCommand.WriteAccepted(number, content, expectedObjectVersion);
        write = Optional.of(command);
        commands.add(command);
    }

    private void endWrite(WriteOutcome outcome, Instant now, List<AcceptorCommand> commands) {
        AcceptedConfiguration content = write.orElseThrow().content();
        if (outcome == WriteOutcome.DONE) {
            highestObjectVersion =
                    Math.max(highestObjectVersion, write.get().expectedObjectVersion() + 1);
            write = Optional.empty();
            if (content.version().compareTo(highest) > 0) {
                highest = content.version();
                commands.add(new AcceptorCommand.Accepted(content));
            }
            report(content.routesVersion(), content.poolsVersion(), List.of(), now, commands);
        } else if (outcome == WriteOutcome.UNKNOWN) {
            readSoon(now);
        } else {
            write = Optional.empty();
            readAfter(now, RETRY_DELAY);
        }
    }

    private void report(
            long routesVersion,
            long poolsVersion,
            List<TableFault> faults,
            Instant now,
            List<AcceptorCommand> commands) {
        ConfigurationStatus status =
                new ConfigurationStatus(highest, routesVersion, poolsVersion, faults, now);
        boolean isSame =
                lastStatus
                        .filter(last -> last.accepted().equals(status.accepted()))
                        .filter(last -> last.routesVersion() == routesVersion)
                        .filter(last -> last.poolsVersion() == poolsVersion)
                        .filter(last -> last.faults().equals(faults))
                        .isPresent();
        if (!isSame) {
            lastStatus = Optional.of(status);
            commands.add(new AcceptorCommand.WriteStatus(status));
        }
    }
}
