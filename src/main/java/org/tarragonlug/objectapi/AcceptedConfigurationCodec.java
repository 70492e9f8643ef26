package org.tarragonlug.objectapi;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.DateTimeException;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.tarragonlug.decision.configuration.AcceptedConfiguration;
import org.tarragonlug.decision.configuration.Configuration;
import org.tarragonlug.decision.configuration.ConfigurationStatus;
import org.tarragonlug.decision.configuration.Pool;
import org.tarragonlug.decision.configuration.Route;
import org.tarragonlug.decision.configuration.TableContent;
import org.tarragonlug.decision.configuration.TableFault;
import org.tarragonlug.error.ErrorCode;
import org.tarragonlug.error.TarragonlugException;
import org.tarragonlug.id.ConfigurationVersion;
import org.tarragonlug.id.OperationId;
import org.tarragonlug.id.ProcessId;

/**
 * Converts the accepted configuration (object {@code configuration/accepted}) between JSON and Java
 * objects, and writes the JSON form of its status (object {@code status/configuration}).
 */
public final class AcceptedConfigurationCodec {
    private final TableCodec tables;

    /** Creates a codec that uses the given codec for the routes and pools in the configuration. */
    public AcceptedConfigurationCodec(TableCodec tables) {
        this.tables = tables;
    }

    /**
     * Reads a stored accepted configuration. Unknown fields are ignored.
     *
     * @throws TarragonlugException {@code TABLES_INVALID} if the content is invalid
     */
    public AcceptedConfiguration read(StoredObject object) throws TarragonlugException {
        JsonNode content = object.content();
        TableContent<Route> routes =
                tables.readRoutes(part(object, content.path("routes")), UnknownFields.IGNORE);
        TableContent<Pool> pools =
                tables.readPools(part(object, content.path("pools")), UnknownFields.IGNORE);
        List<TableFault> faults = new ArrayList<>(routes.faults());
        faults.addAll(pools.faults());
        if (!faults.isEmpty()) {
            throw invalid(object, faults.get(0).toString());
        }
        try {
            return new AcceptedConfiguration(
                    new Configuration(
                            new ConfigurationVersion(content.path("version").asLong(-1)),
                            routes.rows(),
                            pools.rows()),
                    content.path("routesVersion").asLong(),
                    content.path("poolsVersion").asLong(),
                    new OperationId(content.path("operation").asText()),
                    new ProcessId(content.path("acceptedBy").asText()),
                    Instant.parse(content.path("acceptedAt").asText()));
        } catch (IllegalArgumentException | DateTimeException e) {
            throw invalid(object, String.valueOf(e.getMessage()));
        }
    }

    private static StoredObject part(StoredObject object, JsonNode table) {
        return new StoredObject(object.name(), object.version(), table);
    }

    private static TarragonlugException invalid(StoredObject object, String detail) {
        return new TarragonlugException(
                ErrorCode.TABLES_INVALID, "object=" + object.name() + " " + detail);
    }

    /**
     * Returns the JSON form of an accepted configuration.
     *
     * @param accepted the configuration to write
     * @param routesTable routes table that the configuration was created from; its unknown fields
     *     are kept
     * @param poolsTable pools table that the configuration was created from; its unknown fields are
     *     kept
     */
    public ObjectNode write(
            AcceptedConfiguration accepted, JsonNode routesTable, JsonNode poolsTable) {
        ObjectNode content = JsonNodeFactory.instance.objectNode();
        content.put("formatVersion", TableCodec.FORMAT_VERSION);
        content.put("version", accepted.version().value());
        content.put("routesVersion", accepted.routesVersion());
        content.put("poolsVersion", accepted.poolsVersion());
        content.put("operation", accepted.operation().value());
        content.put("acceptedBy", accepted.acceptedBy().value());
        content.put("acceptedAt", accepted.acceptedAt().toString());
        ObjectNode routes = tables.writeRoutes(accepted.configuration().routes());
        tables.keepUnknownFields(routes, routesTable, TableCodec.ROUTES);
        content.set("routes", routes);
        ObjectNode pools = tables.writePools(accepted.configuration().pools());
        tables.keepUnknownFields(pools, poolsTable, TableCodec.POOLS);
        content.set("pools", pools);
        return content;
    }

    /** Returns the JSON form of the result of the last check of the tables. */
    public ObjectNode write(ConfigurationStatus status) {
        ObjectNode content = JsonNodeFactory.instance.objectNode();
        content.put("formatVersion", TableCodec.FORMAT_VERSION);
        content.put("accepted", status.accepted().value());
        content.put("routesVersion", status.routesVersion());
        content.put("poolsVersion", status.poolsVersion());
        content.put("checkedAt", status.checkedAt().toString());
        ArrayNode faults = content.putArray("faults");
        for (TableFault fault : status.faults()) {
            faults.addObject()
                    .put("path", fault.path())
                    .put("found", fault.found())
                    .put("remedy", fault.remedy());
        }
        return content;
    }
}
