package org.tarragonlug.tool;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import org.tarragonlug.error.TarragonlugException;
import org.tarragonlug.runtime.Json;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Prints both tables with what the system reports on each row. */
@Command(
        name = "status",
        mixinStandardHelpOptions = true,
        description = {
            "Prints the tables of routes and pools with what the system reports on each row.",
            "Asks the instances themselves, so it works while the object API is down. Name all "
                    + "instances to see the artifacts of all pools, since one instance "
                    + "decides for each group.",
            "Exit status: 0 printed, 1 no instance answers, 2 an address is malformed."
        })
public final class StatusCommand implements Callable<Integer> {
    @Parameters(
            arity = "1..*",
            paramLabel = "ADDRESS",
            converter = AddressConverter.class,
            description = "Admin addresses of instances, such as 10.0.0.1:9001.")
    private List<InetSocketAddress> addresses;

    @Option(
            names = "--format",
            defaultValue = "TEXT",
            description = "Form of the output: ${COMPLETION-CANDIDATES}.")
    private OutputFormat format;

    @Override
    public Integer call() {
        List<JsonNode> answers = new ArrayList<>();
        try (AdminClient client = new AdminClient()) {
            for (InetSocketAddress address : addresses) {
                fetchStatus(client, address, answers);
            }
        }
        if (answers.isEmpty()) {
            return ExitStatus.FAILURE;
        }
        ObjectNode merged = merge(answers);
        System.out.print(
                format == OutputFormat.JSON
                        ? merged.toPrettyString() + System.lineSeparator()
                        : StatusTable.format(merged));
        return ExitStatus.SUCCESS;
    }

    private static void fetchStatus(AdminClient client, InetSocketAddress address, List<JsonNode> answers) {
        try {
            answers.add(client.get(address, "/status"));
        } catch (TarragonlugException failure) {
            System.err.println(failure.getMessage());
        }
    }

    /** Takes the tables of the newest version and each pool from the instance that decides. */
    static ObjectNode merge(List<JsonNode> answers) {
        JsonNode newest = answers.get(0);
        for (JsonNode answer : answers) {
            if (answer.path("version").asLong() > newest.path("version").asLong()) {
                newest = answer;
            }
        }
        ObjectNode merged = Json.object();
        merged.put("version", newest.path("version").asLong());
        ArrayNode versions = merged.putArray("instances");
        ArrayNode faults = merged.putArray("faults");
        for (JsonNode answer : answers) {
            versions.addObject()
                    .put("instance", answer.path("instance").asText())
                    .put("version", answer.path("version").asLong());
            answer.path("faults").forEach(faults::add);
        }
        merged.set("routes", newest.path("routes"));
        ArrayNode pools = merged.putArray("pools");
        newest.path("pools").forEach(pool -> pools.add(poolFromDecider(pool, answers)));
        return merged;
    }

    private static JsonNode poolFromDecider(JsonNode pool, List<JsonNode> answers) {
        for (JsonNode answer : answers) {
            for (JsonNode candidate : answer.path("pools")) {
                if (candidate.path("name").equals(pool.path("name"))
                        && candidate.path("decidedHere").asBoolean()) {
                    return candidate;
                }
            }
        }
        return pool;
    }
}
