package org.tarragonlug.objectapi;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Path;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.tarragonlug.decision.configuration.Pool;
import org.tarragonlug.decision.configuration.Route;
import org.tarragonlug.decision.configuration.TableChecker;
import org.tarragonlug.decision.configuration.TableContent;
import org.tarragonlug.decision.configuration.TableFault;
import org.tarragonlug.error.ErrorCode;
import org.tarragonlug.error.TarragonlugException;
import org.tarragonlug.id.OperationId;

/**
 * Compares and publishes the tables of an operator's directory. Calls block, for use by commands.
 *
 * <p>Each table is written on condition that it is as it was read. If the directory was fetched, a
 * table that was edited since then is refused too, because the files would undo those edits; the
 * error names the rows and their editors. The two tables are written one after the other: pools
 * first, so that routes never name a missing pool, unless pools are only removed. In between, the
 * configuration owner may see both; an invalid mix is not accepted and changes nothing.
 */
public final class TablePublisher {
    private static final int MAXIMUM_WRITE_TRIES = 5;

    private final ObjectApi api;
    private final TableCodec codec;
    private final String editor;
    private final Supplier<Instant> clock;
    private final Supplier<OperationId> operations;

    /**
     * Creates a publisher.
     *
     * @param api the platform
     * @param codec form of the tables
     * @param editor name of the operator, shown to others on conflicts
     * @param clock time of the edit
     * @param operations makes operation ids that were never used
     */
    public TablePublisher(
            ObjectApi api,
            TableCodec codec,
            String editor,
            Supplier<Instant> clock,
            Supplier<OperationId> operations) {
        this.api = api;
        this.codec = codec;
        this.editor = editor;
        this.clock = clock;
        this.operations = operations;
    }

    /** Writes the platform's tables into a directory, as a base for edits. */
    public void fetch(Path directory) throws TarragonlugException {
        TableFiles files = new TableFiles(directory);
        long[] revisions = new long[2];
        int index = 0;
        for (String table : List.of(TableCodec.ROUTES, TableCodec.POOLS)) {
            StoredObject stored = read(table);
            ObjectNode content = contentOrEmptyTable(stored, table).deepCopy();
            revisions[index++] = TableEdits.revision(content);
            TableEdits.removeEditFields(content);
            files.write(table, content);
        }
        files.writeBase(revisions[0], revisions[1]);
    }

    /**
     * Finds all faults of the files in a directory.
     *
     * @return empty if they are valid
     */
    public List<TableFault> check(Path directory) throws TarragonlugException {
        TableFiles files = new TableFiles(directory);
        return findFaults(files.read(TableCodec.ROUTES), files.read(TableCodec.POOLS));
    }

    /** Compares a directory with the platform's tables. */
    public List<RowDifference> diff(Path directory) throws TarragonlugException {
        TableFiles files = new TableFiles(directory);
        List<RowDifference> differences = new ArrayList<>();
        for (String table : List.of(TableCodec.ROUTES, TableCodec.POOLS)) {
            differences.addAll(compare(table, read(table), files.read(table)));
        }
        return differences;
    }

    /**
     * Publishes the tables of a directory.
     *
     * @return what was changed; empty if the platform's tables were the same
     * @throws TarragonlugException {@code TABLES_INVALID} with every fault; {@code WRITE_CONFLICT}
     *     with the rows edited meanwhile and their editors
     */
    public List<RowDifference> apply(Path directory) throws TarragonlugException {
        TableFiles files = new TableFiles(directory);
        JsonNode routes = files.read(TableCodec.ROUTES);
        JsonNode pools = files.read(TableCodec.POOLS);
        List<TableFault> faults = findFaults(routes, pools);
        if (!faults.isEmpty()) {
            throw new TarragonlugException(
                    ErrorCode.TABLES_INVALID,
                    faults.stream().map(TableFault::toString).collect(Collectors.joining("\n")));
        }
        Edit routesEdit = prepareEdit(TableCodec.ROUTES, routes, files);
        Edit poolsEdit = prepareEdit(TableCodec.POOLS, pools, files);
        boolean onlyRemoves =
                poolsEdit.differences().stream()
                        .allMatch(change -> change.kind() == RowDifference.Kind.REMOVED);
        write(onlyRemoves ? routesEdit : poolsEdit);
        write(onlyRemoves ? poolsEdit : routesEdit);
        if (files.baseRevision(TableCodec.ROUTES).isPresent()) {
            files.writeBase(routesEdit.newRevision(), poolsEdit.newRevision());
        }
        List<RowDifference> all = new ArrayList<>(routesEdit.differences());
        all.addAll(poolsEdit.differences());
        return all;
    }

    private List<TableFault> findFaults(JsonNode routes, JsonNode pools) {
        TableContent<Route> routesContent =
                codec.readRoutes(localObject(TableCodec.ROUTES, routes), UnknownFields.REJECT);
        TableContent<Pool> poolsContent =
                codec.readPools(localObject(TableCodec.POOLS, pools), UnknownFields.REJECT);
        List<TableFault> faults = new ArrayList<>(routesContent.faults());
        faults.addAll(poolsContent.faults());
        if (faults.isEmpty()) {
            return TableChecker.check(routesContent.rows(), poolsContent.rows(), Map.of());
        }
        return faults;
    }

    private static StoredObject localObject(String table, JsonNode content) {
        return new StoredObject(name(table), 1, content);
    }

    private static ObjectName name(String table) {
        return new ObjectName("tables", table);
    }

    private Edit prepareEdit(String table, JsonNode local, TableFiles files) throws TarragonlugException {
        StoredObject stored = read(table);
        long revision = TableEdits.revision(stored.content());
        OptionalLong base = files.baseRevision(table);
        if (base.isPresent() && base.getAsLong() != revision) {
            throw conflict(table, stored.content(), base.getAsLong());
        }
        List<RowDifference> differences = compare(table, stored, local);
        ObjectNode content = local.deepCopy();
        OperationId operation = operations.get();
        TableEdits.recordEdit(
                content, contentOrEmptyTable(stored, table), differences, editor, clock.get(), operation);
        return new Edit(table, stored, content, differences, operation);
    }

    private static TarragonlugException conflict(String table, JsonNode stored, long since) {
        return new TarragonlugException(
                ErrorCode.WRITE_CONFLICT,
                "table=" + table + " changed meanwhile: " + TableEdits.editsSince(stored, since));
    }

    /** Writes one table; after a lost answer, finds out by its operation id what became of it. */
    private void write(Edit edit) throws TarragonlugException {
        if (edit.differences().isEmpty()) {
            return;
        }
        for (int tries = 1; ; tries++) {
            try {
                await(api.write(name(edit.table()), edit.content(), edit.stored().version()));
                return;
            } catch (TarragonlugException e) {
                boolean mayHaveTakenEffect =
                        e.code() == ErrorCode.OBJECT_API_OUTCOME_UNKNOWN
                                || e.code() == ErrorCode.WRITE_CONFLICT;
                if (!mayHaveTakenEffect || tries == MAXIMUM_WRITE_TRIES) {
                    throw e;
                }
                StoredObject current = read(edit.table());
                if (TableEdits.isWrittenBy(current.content(), edit.operation())) {
                    return;
                }
                if (current.version() != edit.stored().version()) {
                    throw conflict(
                            edit.table(),
                            current.content(),
                            TableEdits.revision(edit.stored().content()));
                }
            }
        }
    }

    private List<RowDifference> compare(String table, StoredObject stored, JsonNode local) {
        return new TableComparison(table)
                .compare(normalize(table, stored), normalize(table, localObject(table, local)));
    }

    /** Returns the form with all defaults written out, if the table can be parsed. */
    private JsonNode normalize(String table, StoredObject object) {
        if (!object.exists()) {
            return object.content();
        }
        boolean isRoutes = table.equals(TableCodec.ROUTES);
        TableContent<Route> routes =
                isRoutes ? codec.readRoutes(object, UnknownFields.IGNORE) : emptyContent();
        TableContent<Pool> pools =
                isRoutes ? emptyContent() : codec.readPools(object, UnknownFields.IGNORE);
        if (!routes.faults().isEmpty() || !pools.faults().isEmpty()) {
            return object.content();
        }
        ObjectNode normal =
                isRoutes ? codec.writeRoutes(routes.rows()) : codec.writePools(pools.rows());
        codec.keepUnknownFields(normal, object.content(), table);
        return normal;
    }

    private static <R> TableContent<R> emptyContent() {
        return new TableContent<>(StoredObject.ABSENT, List.of(), List.of());
    }

    private static ObjectNode contentOrEmptyTable(StoredObject stored, String table) {
        if (stored.content() instanceof ObjectNode content) {
            return content;
        }
        ObjectNode empty = JsonNodeFactory.instance.objectNode();
        empty.put("formatVersion", TableCodec.FORMAT_VERSION);
        empty.putArray(table);
        return empty;
    }

    private StoredObject read(String table) throws TarragonlugException {
        return await(api.read(name(table)));
    }

    private static <T> T await(CompletionStage<T> stage) throws TarragonlugException {
        try {
            return stage.toCompletableFuture().join();
        } catch (CompletionException e) {
            if (e.getCause() instanceof TarragonlugException typed) {
                throw typed;
            }
            throw e;
        }
    }

    private record Edit(
            String table,
            StoredObject stored,
            ObjectNode content,
            List<RowDifference> differences,
            OperationId operation) {
        long newRevision() {
            return TableEdits.revision(differences.isEmpty() ? stored.content() : content);
        }
    }
}
