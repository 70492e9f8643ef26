package org.tarragonlug.trial;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Random;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;
import org.tarragonlug.http.HttpConnections;
import org.tarragonlug.http.JsonFields;
import org.tarragonlug.objectapi.HttpObjectApi;
import org.tarragonlug.objectapi.ObjectName;
import org.tarragonlug.objectapi.StoredObject;
import org.tarragonlug.standin.StandInPlatform;

/** Operators who concurrently read the same table, change it and write it, without coordination. */
final class RacingOperators {
    static final String RATE_FIELD = "requestsPerSecond";

    private static final ObjectName ROUTES = new ObjectName("tables", "routes");
    private static final ObjectName POOLS = new ObjectName("tables", "pools");
    private static final int OPERATORS = 2;
    private static final int MINIMUM_RATE = 5000;
    private static final int RATE_SPREAD = 1000;
    private static final int LONGEST_PAUSE_MILLIS = 150;
    private static final int CALL_TIMEOUT_SECONDS = 2;

    private final StandInPlatform platform;
    private final HttpObjectApi objectApi;
    private int lastRate = MINIMUM_RATE + RATE_SPREAD;

    RacingOperators(StandInPlatform platform, HttpConnections connections) {
        this.platform = platform;
        this.objectApi = new HttpObjectApi(connections, platform.objectApi().address());
    }

    /**
     * Starts the operators.
     *
     * @return a task that stops the operators and then writes valid tables
     */
    Runnable start(long seed) {
        AtomicBoolean stopped = new AtomicBoolean();
        for (int number = 0; number < OPERATORS; number++) {
            Random random = new Random(seed + number);
            Thread thread =
                    new Thread(() -> editRepeatedly(random, stopped), "trial-operator-" + number);
            thread.setDaemon(true);
            thread.start();
        }
        return () -> {
            stopped.set(true);
            writeValidTables();
        };
    }

    private void editRepeatedly(Random random, AtomicBoolean stopped) {
        while (!stopped.get()) {
            try {
                editOnce(random, stopped);
                Thread.sleep(random.nextInt(LONGEST_PAUSE_MILLIS));
            } catch (ExecutionException | TimeoutException conflictOrOutage) {
                // The operator reads the table again and makes another edit.
            } catch (InterruptedException interrupted) {
                return;
            }
        }
    }

    private void editOnce(Random random, AtomicBoolean stopped)
            throws ExecutionException, TimeoutException, InterruptedException {
        StoredObject table =
                objectApi
                        .read(ROUTES)
                        .toCompletableFuture()
                        .get(CALL_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        ObjectNode content = table.content().deepCopy();
        ObjectNode route = (ObjectNode) content.path("routes").path(0);
        if (random.nextInt(4) == 0) {
            route.put("pool", "missing");
        } else if (random.nextInt(4) == 0) {
            route.put(RATE_FIELD, -1);
        } else {
            route.put("pool", firstPool());
            route.put(RATE_FIELD, MINIMUM_RATE + random.nextInt(RATE_SPREAD));
        }
        if (!stopped.get()) {
            objectApi
                    .write(ROUTES, content, table.version())
                    .toCompletableFuture()
                    .get(CALL_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        }
    }

    private String firstPool() {
        JsonNode routes = JsonFields.parse(platform.deployment().routesTable()).path("routes");
        return routes.path(0).path("pool").asText();
    }

    /** Writes valid tables with a new rate in each route and returns this rate. */
    int writeValidTables() {
        ObjectNode table = (ObjectNode) JsonFields.parse(platform.deployment().routesTable());
        lastRate++;
        for (JsonNode route : table.path("routes")) {
            ((ObjectNode) route).put(RATE_FIELD, lastRate);
        }
        platform.objectApi().put(ROUTES, table);
        platform.objectApi().put(POOLS, JsonFields.parse(platform.deployment().poolsTable()));
        return lastRate;
    }
}
