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
 * Fetches, checks, compares and publishes the tables of an operator's directory. The methods block
 * until the object API has answered; they are meant for command line commands.
 *
 * <p>A table is written only if it is unchanged since it was read. If the directory was fetched, a
 * table that was edited after the fetch is refused too, because the files would undo those edits.
 * The error names the edited rows and their editors.
 *
 * <p>The two tables are written one after the other. Pools are written first, so that routes never
 * name a missing pool; if pools are only removed, they are written last for the same reason.
 * Between the two writes the configuration owner may read one new and one old table. It does not
 * accept a combination that is invalid, and the accepted configuration then stays in force.
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
     * @param api the platform's object API
     * @param codec codec of the tables
     * @param editor name of the operator, shown to other operators on conflicts
     * @param clock supplies the time of an edit
     * @param operations supplies operation ids that have never been used
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

    /** Writes the platform's tables into a directory, as the base of later edits. */
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
     * Checks the files in a directory without reading the platform's tables.
     *
     * @return all faults; empty if the files are valid
     */
    public List<TableFault> check(Path directory) throws TarragonlugException {
        TableFiles files = new TableFiles(directory);
        return findFaults(files.read(TableCodec.ROUTES), files.read(TableCodec.POOLS));
    }

    /** Returns the differences between the platform's tables and the files in a directory. */
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
     * @return the published differences; empty if the platform's tables were the same
     * @throws TarragonlugException {@code TABLES_INVALID} with all faults if the files are invalid;
     *     {@code WRITE_CONFLICT} with rows and editors if a table was edited in the meantime
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

    private Edit prepareEdit(String table, JsonNode local, TableFiles files)
            throws TarragonlugException {
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
                content,
                contentOrEmptyTable(stored, table),
                differences,
                editor,
                clock.get(),
                operation);
        return new Edit(table, stored, content, differences, operation);
    }

    private static TarragonlugException conflict(String table, JsonNode stored, long since) {
        return new TarragonlugException(
                ErrorCode.WRITE_CONFLICT,
                "table=" + table + " changed meanwhile: " + TableEdits.editsSince(stored, since));
    }

    /**
     * Writes one table. After a lost answer, reads the table back: if the table contains the
     * operation id of this edit, the write has taken effect.
     */
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

    /**
     * Returns the JSON form with all default values written out. A table that cannot be parsed is
     * returned unchanged.
     */
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
