package org.tarragonlug.soak;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Path;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.Map;
import org.tarragonlug.http.JsonFields;
import org.tarragonlug.runtime.Json;

/** Reads the shape of a soak, from a file or from the shapes of the program. */
public final class SoakShapeReader {
    private SoakShapeReader() {}

    /**
     * Reads a shape.
     *
     * @param name name of a shape of the program, or path of a JSON file
     * @throws IllegalArgumentException if it has a fault; the message names the field
     * @throws IOException if the file can't be read or is no JSON
     */
    public static SoakShape read(String name) throws IOException {
        try (InputStream builtIn =
                SoakShapeReader.class.getResourceAsStream("/soak/" + name + ".json")) {
            return decode(
                    builtIn == null
                            ? Json.readFile(Path.of(name))
                            : Json.read(builtIn.readAllBytes()));
        }
    }

    private static SoakShape decode(JsonNode shape) {
        Map<String, ServiceShape> services = new LinkedHashMap<>();
        JsonFields.object(shape, "services")
                .fields()
                .forEachRemaining(each -> services.put(each.getKey(), service(each.getValue())));
        return new SoakShape(
                JsonFields.smallCount(shape, "gateways"),
                JsonFields.smallCount(shape, "failureDomains"),
                services,
                JsonFields.smallCount(shape, "models"),
                JsonFields.smallCount(shape, "adapters"),
                JsonFields.smallCount(shape, "accounts"),
                callers(shape),
                faults(JsonFields.object(shape, "faults")),
                shape.has("pressure")
                        ? pressure(JsonFields.object(shape, "pressure"))
                        : PressureShape.DEFAULT);
    }

    private static ServiceShape service(JsonNode node) {
        return new ServiceShape(
                JsonFields.smallCount(node, "servers"), JsonFields.smallCount(node, "slots"));
    }

    private static CallerShape callers(JsonNode shape) {
        Map<RequestKind, Integer> requests = new EnumMap<>(RequestKind.class);
        JsonNode weights = JsonFields.object(shape, "requests");
        weights.fieldNames()
                .forEachRemaining(
                        kind ->
                                requests.put(
                                        RequestKind.valueOf(kind),
                                        JsonFields.smallCount(weights, kind)));
        JsonNode returns = JsonFields.object(shape, "returns");
        return new CallerShape(
                JsonFields.smallCount(shape, "callers"),
                JsonFields.smallCount(shape, "longestPauseMillis"),
                requests,
                new ReturnShape(
                        JsonFields.smallCount(returns, "sameIdPercent"),
                        JsonFields.smallCount(returns, "sameGatewayPercent"),
                        JsonFields.smallCount(returns, "most")));
    }

    private static PressureShape pressure(JsonNode node) {
        return new PressureShape(
                JsonFields.smallCount(node, "largeBodyPercent"),
                JsonFields.smallCount(node, "largestBodyBytes"),
                JsonFields.smallCount(node, "longWorkPercent"),
                JsonFields.smallCount(node, "longestWorkMillis"),
                JsonFields.smallCount(node, "drainSeconds"));
    }

    private static FaultShape faults(JsonNode node) {
        return new FaultShape(
                JsonFields.smallCount(node, "refusedPercent"),
                JsonFields.smallCount(node, "longestServerGapMillis"),
                JsonFields.smallCount(node, "longestGatewayGapMillis"),
                JsonFields.smallCount(node, "longestStoreGapMillis"),
                node.has("longestRestoreGapMillis")
                        ? JsonFields.smallCount(node, "longestRestoreGapMillis")
                        : 0);
    }
}
