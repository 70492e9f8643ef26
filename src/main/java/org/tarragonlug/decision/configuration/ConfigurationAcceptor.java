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
 * Checks the tables that operators write and accepts them. Only the configuration owner does so.
 *
 * <p>Two owners at the same time are safe: the accepted configuration is one object, and a write
 * takes effect only if the object still has the version that the writer has read. A stale read
 * cannot revert the configuration: the conditional write then fails, and tables older than those of
 * the accepted configuration are never accepted. After a lost answer, the owner reads the object
 * again. The operation id shows whether the write took effect. If the object is unchanged, the
 * owner repeats the same write, which can take effect only once. If another process has changed the
 * object, the lost write can no longer take effect.
 *
 * <p>If the tables fail the check, the accepted configuration stays in force and the status lists
 * the faults. When an operator edits the two tables one after the other, the check may fail in
 * between, which is harmless.
 */
public final class ConfigurationAcceptor implements StateMachine<AcceptorEvent, AcceptorCommand> {
    /** Longer than any time limit of the object API connector; a later answer counts as lost. */
    private static final Duration ANSWER_TIMEOUT = Duration.ofSeconds(10);

    private static final Duration RETRY_DELAY = Duration.ofMillis(500);

    /** A periodic read finds changes that the watch missed. */
    private static final Duration RECHECK_PERIOD = Duration.ofSeconds(30);

    private final ProcessId process;
    private final Supplier<OperationId> operationIds;
    private boolean owner;
    private boolean readRequired;
    private long commandNumber;
    private Optional<Instant> awaitedSince = Optional.empty();
    private Optional<AcceptorCommand.WriteAccepted> pendingWrite = Optional.empty();
    private Instant nextRead = Instant.EPOCH;
    private long highestObjectVersion;
    private ConfigurationVersion highestVersion = ConfigurationVersion.NONE;
    private Optional<ConfigurationStatus> lastStatus = Optional.empty();
    private Map<ServerGroup, Long> serverMemory = Map.of();

    /**
     * Creates an acceptor for a process that is not the configuration owner yet.
     *
     * @param process id of this process
     * @param operationIds supplies operation ids that no process has used before
     */
    public ConfigurationAcceptor(ProcessId process, Supplier<OperationId> operationIds) {
        this.process = process;
        this.operationIds = operationIds;
    }

    @Override
    public List<AcceptorCommand> handle(AcceptorEvent event, Instant now) {
        List<AcceptorCommand> commands = new ArrayList<>();
        if (event instanceof AcceptorEvent.OwnershipChanged changed) {
            setOwner(changed.owner(), now);
        } else if (event instanceof AcceptorEvent.TablesChanged) {
            scheduleRead(now);
        } else if (event instanceof AcceptorEvent.ServerMemoryReported reported) {
            if (!serverMemory.equals(reported.largestServerMemory())) {
                serverMemory = reported.largestServerMemory();
                scheduleRead(now);
            }
        } else if (event instanceof AcceptorEvent.ReadDone read) {
            if (completeAwaited(read.number())) {
                evaluate(read, now, commands);
            }
        } else if (event instanceof AcceptorEvent.ReadFailed failed) {
            if (completeAwaited(failed.number())) {
                scheduleReadAfter(now, RETRY_DELAY);
            }
        } else if (event instanceof AcceptorEvent.WriteEnded ended) {
            if (completeAwaited(ended.number())) {
                onWriteEnded(ended.outcome(), now, commands);
            }
        }
        sendReadIfDue(now, commands);
        return commands;
    }

    private void setOwner(boolean isOwner, Instant now) {
        if (isOwner == owner) {
            return;
        }
        owner = isOwner;
        pendingWrite = Optional.empty();
        awaitedSince = Optional.empty();
        lastStatus = Optional.empty();
        commandNumber++;
        scheduleRead(now);
    }

    /**
     * Ends the wait for an answer if the answer belongs to the outstanding command.
     *
     * @return whether it does; false for answers to earlier commands, which are ignored
     */
    private boolean completeAwaited(long answeredNumber) {
        if (awaitedSince.isEmpty() || answeredNumber != commandNumber) {
            return false;
        }
        awaitedSince = Optional.empty();
        return true;
    }

    private void scheduleRead(Instant now) {
        readRequired = true;
        nextRead = now;
    }

    private void scheduleReadAfter(Instant now, Duration delay) {
        readRequired = true;
        nextRead = now.plus(delay);
    }

    /** Sends the next read if one is due and no answer is outstanding. */
    private void sendReadIfDue(Instant now, List<AcceptorCommand> commands) {
        if (!owner) {
            return;
        }
        if (awaitedSince.filter(since -> now.isAfter(since.plus(ANSWER_TIMEOUT))).isPresent()) {
            awaitedSince = Optional.empty();
            scheduleRead(now);
        }
        if (awaitedSince.isPresent() || now.isBefore(nextRead)) {
            return;
        }
        if (!readRequired && now.isBefore(nextRead.plus(RECHECK_PERIOD))) {
            return;
        }
        readRequired = false;
        nextRead = now;
        commandNumber++;
        awaitedSince = Optional.of(now);
        commands.add(new AcceptorCommand.Read(commandNumber));
    }

    private void evaluate(
            AcceptorEvent.ReadDone read, Instant now, List<AcceptorCommand> commands) {
        if (read.acceptedObjectVersion() < highestObjectVersion) {
            scheduleReadAfter(now, RETRY_DELAY);
            return;
        }
        deliverNewerAccepted(read, commands);
        if (pendingWrite.isPresent() && resolveWrite(read, now, commands)) {
            return;
        }
        long usedRoutes = read.accepted().map(AcceptedConfiguration::routesVersion).orElse(0L);
        long usedPools = read.accepted().map(AcceptedConfiguration::poolsVersion).orElse(0L);
        long routesVersion = read.routes().objectVersion();
        long poolsVersion = read.pools().objectVersion();
        List<TableFault> staleTableFaults = new ArrayList<>();
        checkNotOlder("routes", routesVersion, usedRoutes, staleTableFaults);
        checkNotOlder("pools", poolsVersion, usedPools, staleTableFaults);
        if (!staleTableFaults.isEmpty()) {
            reportStatus(routesVersion, poolsVersion, staleTableFaults, now, commands);
            scheduleReadAfter(now, RETRY_DELAY);
            return;
        }
        boolean isNew = routesVersion > usedRoutes || poolsVersion > usedPools;
        List<TableFault> faults = isNew ? findFaults(read) : List.of();
        if (isNew && faults.isEmpty()) {
            writeNext(read, now, commands);
        } else {
            reportStatus(routesVersion, poolsVersion, faults, now, commands);
        }
    }

    private static void checkNotOlder(
            String table, long objectVersion, long usedVersion, List<TableFault> faults) {
        if (objectVersion < usedVersion) {
            faults.add(
                    new TableFault(
                            "$." + table,
                            "object version "
                                    + objectVersion
                                    + " is older than the accepted "
                                    + usedVersion,
                            "wait; if the fault persists, the table was deleted: write it"
                                    + " again until its version is greater"));
        }
    }

    private void deliverNewerAccepted(AcceptorEvent.ReadDone read, List<AcceptorCommand> commands) {
        highestObjectVersion = read.acceptedObjectVersion();
        if (read.accepted().isEmpty()) {
            return;
        }
        AcceptedConfiguration accepted = read.accepted().get();
        if (accepted.version().compareTo(highestVersion) > 0) {
            highestVersion = accepted.version();
            commands.add(new AcceptorCommand.DeliverAccepted(accepted));
        }
    }

    /**
     * Determines from a read whether the write with a lost answer took effect, and repeats the
     * write if the object is unchanged.
     *
     * @return whether the write was repeated
     */
    private boolean resolveWrite(
            AcceptorEvent.ReadDone read, Instant now, List<AcceptorCommand> commands) {
        AcceptorCommand.WriteAccepted unresolved = pendingWrite.get();
        boolean tookEffect =
                read.accepted()
                        .map(AcceptedConfiguration::operation)
                        .filter(unresolved.content().operation()::equals)
                        .isPresent();
        if (tookEffect || read.acceptedObjectVersion() != unresolved.expectedObjectVersion()) {
            pendingWrite = Optional.empty();
            return false;
        }
        sendWrite(unresolved.content(), unresolved.expectedObjectVersion(), now, commands);
        return true;
    }

    private List<TableFault> findFaults(AcceptorEvent.ReadDone read) {
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
                        operationIds.get(),
                        process,
                        now);
        sendWrite(content, read.acceptedObjectVersion(), now, commands);
    }

    private void sendWrite(
            AcceptedConfiguration content,
            long expectedObjectVersion,
            Instant now,
            List<AcceptorCommand> commands) {
        commandNumber++;
        awaitedSince = Optional.of(now);
        AcceptorCommand.WriteAccepted command =
                new AcceptorCommand.WriteAccepted(commandNumber, content, expectedObjectVersion);
        pendingWrite = Optional.of(command);
        commands.add(command);
    }

    private void onWriteEnded(WriteOutcome outcome, Instant now, List<AcceptorCommand> commands) {
        AcceptedConfiguration content = pendingWrite.orElseThrow().content();
        if (outcome == WriteOutcome.DONE) {
            highestObjectVersion =
                    Math.max(highestObjectVersion, pendingWrite.get().expectedObjectVersion() + 1);
            pendingWrite = Optional.empty();
            if (content.version().compareTo(highestVersion) > 0) {
                highestVersion = content.version();
                commands.add(new AcceptorCommand.DeliverAccepted(content));
            }
            reportStatus(content.routesVersion(), content.poolsVersion(), List.of(), now, commands);
        } else if (outcome == WriteOutcome.UNKNOWN) {
            scheduleRead(now);
        } else {
            pendingWrite = Optional.empty();
            scheduleReadAfter(now, RETRY_DELAY);
        }
    }

    private void reportStatus(
            long routesVersion,
            long poolsVersion,
            List<TableFault> faults,
            Instant now,
            List<AcceptorCommand> commands) {
        ConfigurationStatus status =
                new ConfigurationStatus(highestVersion, routesVersion, poolsVersion, faults, now);
        boolean isUnchanged =
                lastStatus
                        .filter(last -> last.accepted().equals(status.accepted()))
                        .filter(last -> last.routesVersion() == routesVersion)
                        .filter(last -> last.poolsVersion() == poolsVersion)
                        .filter(last -> last.faults().equals(faults))
                        .isPresent();
        if (!isUnchanged) {
            lastStatus = Optional.of(status);
            commands.add(new AcceptorCommand.WriteStatus(status));
        }
    }
}
