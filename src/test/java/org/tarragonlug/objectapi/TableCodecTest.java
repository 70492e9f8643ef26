package org.tarragonlug.objectapi;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.tarragonlug.decision.configuration.AcceptedConfiguration;
import org.tarragonlug.decision.configuration.Configuration;
import org.tarragonlug.decision.configuration.ConfigurationSamples;
import org.tarragonlug.decision.configuration.Route;
import org.tarragonlug.decision.configuration.TableContent;
import org.tarragonlug.decision.configuration.TableFault;
import org.tarragonlug.id.OperationId;
import org.tarragonlug.id.ProcessId;

class TableCodecTest {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final ObjectName NAME = new ObjectName("tables", "routes");
    private static final Configuration SAMPLE = ConfigurationSamples.configuration(3, 2);

    private final TableCodec codec = new TableCodec();

    private TableContent<Route> routes(String json, UnknownFields unknownFields) throws Exception {
        return codec.readRoutes(new StoredObject(NAME, 4, JSON.readTree(json)), unknownFields);
    }

    /** Guards against fields that are lost between table and rows. */
    @Test
    void keepsTablesInRoundTrip() {
        StoredObject routes = new StoredObject(NAME, 4, codec.writeRoutes(SAMPLE.routes()));
        StoredObject pools = new StoredObject(NAME, 4, codec.writePools(SAMPLE.pools()));
        assertEquals(SAMPLE.routes(), codec.readRoutes(routes, UnknownFields.REJECT).rows());
        assertEquals(SAMPLE.pools(), codec.readPools(pools, UnknownFields.REJECT).rows());
    }

    /** Guards against operators who see one fault only after they corrected another. */
    @Test
    void reportsAllFaultsAtOnce() throws Exception {
        String json =
                "{\"formatVersion\":1,\"routes\":["
                        + "{\"name\":\"a\",\"pathPrefix\":\"/a\",\"pool\":\"p\","
                        + "\"defaultTimeout\":\"soon\",\"share\":0},"
                        + "{\"name\":\"b\",\"pathPrefix\":\"b\",\"pool\":\"p\",\"service\":\"s\"},"
                        + "{\"name\":\"c\",\"pool\":\"p\",\"prioritty\":\"normal\"}]}";
        List<TableFault> faults = routes(json, UnknownFields.REJECT).faults();
        List<String> paths = faults.stream().map(TableFault::path).sorted().toList();
        assertEquals(
                List.of(
                        "$.routes[0].defaultTimeout",
                        "$.routes[0].share",
                        "$.routes[1]",
                        "$.routes[1].pathPrefix",
                        "$.routes[2]",
                        "$.routes[2]"),
                paths);
        assertTrue(faults.toString().contains("unknown field 'prioritty'"), faults.toString());
        assertTrue(faults.toString().contains("field 'pathPrefix' is missing"));
        assertTrue(faults.toString().contains("such as 500ms"));
    }

    /** Guards against an old release that refuses, or strips, what a newer one stored. */
    @Test
    void ignoresAndKeepsUnknownFieldsOfStoredConfiguration() throws Exception {
        ObjectNode routes = codec.writeRoutes(SAMPLE.routes());
        ((ObjectNode) routes.at("/routes/1")).put("addedLater", 7);
        ObjectNode pools = codec.writePools(SAMPLE.pools());
        ((ObjectNode) pools.at("/pools/0/artifacts/0")).put("alsoAdded", true);
        AcceptedConfigurationCodec accepted = new AcceptedConfigurationCodec(codec);
        AcceptedConfiguration content =
                new AcceptedConfiguration(
                        SAMPLE,
                        4,
                        5,
                        new OperationId("o"),
                        new ProcessId("p"),
                        Instant.ofEpochSecond(9));
        ObjectNode written = accepted.write(content, routes, pools);
        assertEquals(7, written.at("/routes/routes/1/addedLater").asInt());
        assertTrue(written.at("/pools/pools/0/artifacts/0/alsoAdded").asBoolean());
        assertEquals(content, accepted.read(new StoredObject(NAME, 2, written)));
        assertEquals(
                1,
                codec.readRoutes(new StoredObject(NAME, 1, routes), UnknownFields.REJECT)
                        .faults()
                        .size());
    }

    /** Guards against durations that are read with another unit than they were written with. */
    @Test
    void keepsDurationsInRoundTrip() {
        for (long millis : new long[] {0, 1, 500, 1_000, 30_000, 90_000, 60_000, 3_600_000}) {
            Duration duration = Duration.ofMillis(millis);
            assertEquals(duration, DurationText.parse(DurationText.format(duration)));
        }
        assertEquals("500ms", DurationText.format(Duration.ofMillis(500)));
        assertEquals("30s", DurationText.format(Duration.ofSeconds(30)));
    }
}
