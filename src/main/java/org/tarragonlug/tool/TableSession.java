package org.tarragonlug.tool;

import java.time.Instant;
import java.util.List;
import java.util.UUID;
import org.tarragonlug.error.ErrorCode;
import org.tarragonlug.error.TarragonlugException;
import org.tarragonlug.id.OperationId;
import org.tarragonlug.objectapi.HttpObjectApi;
import org.tarragonlug.objectapi.RowDifference;
import org.tarragonlug.objectapi.TableCodec;
import org.tarragonlug.objectapi.TablePublisher;

/** Runs a command on the tables of a directory, and turns its end into an exit status. */
final class TableSession {
    /** The work of one command. */
    interface TableTask {
        /** Does it; returns the exit status. */
        int run(TablePublisher publisher) throws TarragonlugException;
    }

    private TableSession() {}

    static int run(TableOptions options, TableTask task) {
        try (AdminClient client = new AdminClient()) {
            HttpObjectApi api = new HttpObjectApi(client.connections(), options.objectApi);
            TablePublisher publisher =
                    new TablePublisher(
                            api,
                            new TableCodec(),
                            options.operator,
                            Instant::now,
                            () -> new OperationId(UUID.randomUUID().toString()));
            return task.run(publisher);
        } catch (TarragonlugException failure) {
            System.err.println(failure.getMessage());
            return failure.code() == ErrorCode.TABLES_INVALID
                    ? ExitStatus.INVALID_INPUT
                    : ExitStatus.FAILURE;
        }
    }

    static void printDifferences(List<RowDifference> differences) {
        if (differences.isEmpty()) {
            System.out.println("no differences");
        }
        differences.forEach(difference -> System.out.println(difference.text()));
    }
}
