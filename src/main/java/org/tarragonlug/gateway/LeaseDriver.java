package org.tarragonlug.gateway;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionException;
import java.util.concurrent.Executor;
import org.tarragonlug.decision.ownership.LeaseCommand;
import org.tarragonlug.decision.ownership.LeaseEvent;
import org.tarragonlug.decision.ownership.LeaseManager;
import org.tarragonlug.decision.ownership.LeaseRecord;
import org.tarragonlug.error.ErrorCode;
import org.tarragonlug.error.TarragonlugException;
import org.tarragonlug.objectapi.ObjectApi;
import org.tarragonlug.objectapi.ObjectName;
import org.tarragonlug.objectapi.StoredObject;
import org.tarragonlug.runtime.EventLog;
import org.tarragonlug.runtime.LogEvent;
import org.tarragonlug.runtime.TimerService;

/** Executes the commands of the lease manager of one group: store calls and log entries. */
final class LeaseDriver {
    private final LeaseManager leaseManager;
    private final ObjectApi store;
    private final LeaseReader reader;
    private final ObjectName name;
    private final Executor loop;
    private final TimerService timers;
    private final EventLog log;

    LeaseDriver(
            LeaseManager leaseManager,
            ObjectApi store,
            LeaseReader reader,
            ObjectName name,
            Executor loop,
            TimerService timers,
            EventLog log) {
        this.leaseManager = leaseManager;
        this.store = store;
        this.reader = reader;
        this.name = name;
        this.loop = loop;
        this.timers = timers;
        this.log = log;
    }

    void post(LeaseEvent event) {
        List<LeaseCommand> commands = leaseManager.handle(event, timers.now());
        commands.forEach(this::execute);
    }

    private void execute(LeaseCommand command) {
        if (command instanceof LeaseCommand.Read) {
            reader.read(name).whenCompleteAsync(this::onRead, loop);
        } else if (command instanceof LeaseCommand.Write write) {
            write(write.record());
        } else if (command instanceof LeaseCommand.Acquired acquired) {
            log.event(LogEvent.LEASE_ACQUIRED)
                    .with("lease", name)
                    .with("fence", acquired.record().fence())
                    .with("position", acquired.record().position())
                    .write();
        } else if (command instanceof LeaseCommand.Lost lost) {
            log.event(LogEvent.LEASE_LOST)
                    .with("lease", name)
                    .with("reason", lost.reason())
                    .write();
        }
    }

    private void onRead(StoredObject object, Throwable failure) {
        if (failure != null) {
            post(new LeaseEvent.CallFailed());
            return;
        }
        post(new LeaseEvent.Read(decode(object)));
    }

    private Optional<LeaseRecord> decode(StoredObject object) {
        if (!object.exists()) {
            return Optional.empty();
        }
        try {
            return Optional.of(StoredLease.decode(object));
        } catch (IllegalArgumentException malformed) {
            log.event(LogEvent.STORE_ENTRY_UNREADABLE)
                    .with("object", object.name())
                    .with("detail", malformed.getMessage())
                    .write();
            return Optional.empty();
        }
    }

    private void write(LeaseRecord record) {
        Instant startedAt = timers.now();
        store.write(name, StoredLease.encode(record), record.revision())
                .whenCompleteAsync(
                        (written, failure) -> {
                            if (failure == null) {
                                post(new LeaseEvent.Written(record.at(written), startedAt));
                            } else if (isConflict(failure)) {
                                // The failure does not contain the stored lease.
                                // Read the lease to learn its content.
                                store.read(name).whenCompleteAsync(this::onConflictRead, loop);
                            } else {
                                post(new LeaseEvent.CallFailed());
                            }
                        },
                        loop);
    }

    private void onConflictRead(StoredObject object, Throwable failure) {
        if (failure != null) {
            post(new LeaseEvent.CallFailed());
        } else {
            post(new LeaseEvent.Conflicted(decode(object)));
        }
    }

    private static boolean isConflict(Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        return cause instanceof TarragonlugException typed
                && typed.code() == ErrorCode.WRITE_CONFLICT;
    }
}
