package org.tarragonlug.objectapi;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import org.tarragonlug.decision.configuration.Pool;
import org.tarragonlug.decision.configuration.Route;
import org.tarragonlug.decision.configuration.TableContent;
import org.tarragonlug.decision.configuration.TableFault;

/**
 * Turns the JSON form of the tables into rows and back.
 *
 * <p>A table is validated by its schema first, which finds every fault of form at once; rows are
 * made only if there is none. The JSON forms are described by {@code schema/routes.json} and {@code
 * schema/pools.json} in the resources.
 */
public final class TableCodec {
    /** The format version written by this release. */
    public static final int FORMAT_VERSION = 1;

    /** Name of the array of rows in the table of routes. */
    public static final String ROUTES = "routes";

    /** Name of the array of rows in the table of pools. */
    public static final String POOLS = "pools";

    private final TableSchema routesSchema = new TableSchema("/schema/routes.json");
    private final TableSchema poolsSchema = new TableSchema("/schema/pools.json");

    /** Reads the table of routes; an absent object gives an empty table. */
    public TableContent<Route> readRoutes(StoredObject object, UnknownFields unknownFields) {
        return read(object, routesSchema, ROUTES, unknownFields, RowCodec::route);
    }

    /** Reads the table of pools; an absent object gives an empty table. */
    public TableContent<Pool> readPools(StoredObject object, UnknownFields unknownFields) {
        return read(object, poolsSchema, POOLS, unknownFields, RowCodec::pool);
    }

    private static <R> TableContent<R> read(
            StoredObject object,
            TableSchema schema,
            String rowsName,
            UnknownFields unknownFields,
            Function<JsonNode, R> parser) {
        if (!object.exists()) {
            return new TableContent<>(StoredObject.ABSENT, List.of(), List.of());
        }
        List<TableFault> faults = new ArrayList<>(schema.validate(object.content(), unknownFields));
        List<R> rows = new ArrayList<>();
        if (faults.isEmpty()) {
            JsonNode array = object.content().get(rowsName);
            for (int index = 0; index < array.size(); index++) {
                try {
                    rows.add(parser.apply(array.get(index)));
                } catch (IllegalArgumentException | ArithmeticException e) {
                    faults.add(
                            new TableFault(
                                    "$." + rowsName + "[" + index + "]",
                                    String.valueOf(e.getMessage()),
                                    "correct the value"));
                }
            }
        }
        return new TableContent<>(object.version(), rows, faults);
    }

    /** Writes the table of routes. */
    public ObjectNode writeRoutes(List<Route> routes) {
        return table(ROUTES, routes, RowCodec::json);
    }

    /** Writes the table of pools. */
    public ObjectNode writePools(List<Pool> pools) {
        return table(POOLS, pools, RowCodec::json);
    }

    private static <R> ObjectNode table(
            String rowsName, List<R> rows, Function<R, ObjectNode> writer) {
        ObjectNode table = JsonNodeFactory.instance.objectNode();
        table.put("formatVersion", FORMAT_VERSION);
        ArrayNode array = table.putArray(rowsName);
        rows.forEach(row -> array.add(writer.apply(row)));
        return table;
    }

    /**
     * Adds fields that this release does not know from an earlier form, so that a rewrite keeps
     * what a newer release wrote. Rows are matched by name, fields of this release are not touched.
     *
     * @param written the form written by this release; changed in place
     * @param earlier the form it replaces, or the table it was made from
     * @param rowsName {@link #ROUTES} or {@link #POOLS}
     */
    public void keepUnknownFields(ObjectNode written, JsonNode earlier, String rowsName) {
        copyUnknownFields(written, earlier, RowCodec.knownTableFields(rowsName));
        for (JsonNode row : written.path(rowsName)) {
            Optional<JsonNode> before = findRow(earlier, rowsName, row.path("name").asText());
            before.ifPresent(old -> copyUnknownRowFields((ObjectNode) row, old, rowsName));
        }
    }

    private static void copyUnknownRowFields(ObjectNode row, JsonNode earlier, String rowsName) {
        copyUnknownFields(row, earlier, RowCodec.knownRowFields(rowsName));
        for (String part : RowCodec.ARTIFACT_ARRAYS) {
            for (JsonNode written : row.path(part)) {
                for (JsonNode old : earlier.path(part)) {
                    if (old.path("artifact").equals(written.path("artifact"))) {
                        copyUnknownFields((ObjectNode) written, old, RowCodec.ARTIFACT_FIELDS);
                    }
                }
            }
        }
    }

    private static void copyUnknownFields(ObjectNode written, JsonNode earlier, List<String> known) {
        earlier.fields()
                .forEachRemaining(
                        field -> {
                            if (!known.contains(field.getKey()) && !written.has(field.getKey())) {
                                written.set(field.getKey(), field.getValue());
                            }
                        });
    }

    private static Optional<JsonNode> findRow(JsonNode table, String rowsName, String name) {
        for (JsonNode row : table.path(rowsName)) {
            if (row.path("name").asText().equals(name)) {
                return Optional.of(row);
            }
        }
        return Optional.empty();
    }
}
