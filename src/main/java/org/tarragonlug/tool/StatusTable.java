package org.tarragonlug.tool;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Locale;

/** Prints a status as tables for a person. */
final class StatusTable {
    private StatusTable() {}

    static String format(JsonNode status) {
        StringBuilder text = new StringBuilder();
        text.append("accepted version ").append(status.path("version").asLong()).append('\n');
        for (JsonNode fault : status.path("faults")) {
            text.append("not accepted: ")
                    .append(fault.path("path").asText())
                    .append(": ")
                    .append(fault.path("found").asText())
                    .append("; remedy: ")
                    .append(fault.path("remedy").asText())
                    .append('\n');
        }
        appendRow(text, "\nROUTE", "PATH", "TARGET", "STATE", "");
        for (JsonNode route : status.path("routes")) {
            String target = route.path("pool").asText(route.path("service").asText());
            appendRow(
                    text,
                    route.path("name").asText(),
                    route.path("pathPrefix").asText(),
                    target,
                    route.path("state").asText(),
                    "");
        }
        for (JsonNode pool : status.path("pools")) {
            appendPool(text, pool);
        }
        return text.toString();
    }

    private static void appendPool(StringBuilder text, JsonNode pool) {
        text.append("\npool ")
                .append(pool.path("name").asText())
                .append(", server group ")
                .append(pool.path("group").asText())
                .append('\n');
        if (!pool.path("decidedHere").asBoolean()) {
            text.append("  decided by an instance that was not asked\n");
            return;
        }
        appendRow(text, "  ARTIFACT", "READY", "LOADING", "WAITING", "LAST REFUSAL");
        for (JsonNode artifact : pool.path("artifacts")) {
            boolean shown =
                    artifact.path("ready").asInt() > 0
                            || artifact.path("loading").asInt() > 0
                            || artifact.path("waiting").asInt() > 0
                            || artifact.has("lastRefusal");
            if (shown) {
                appendRow(
                        text,
                        "  " + artifact.path("artifact").asText(),
                        artifact.path("ready").asText(),
                        artifact.path("loading").asText(),
                        artifact.path("waiting").asText(),
                        lastRefusalText(artifact));
            }
        }
    }

    private static String lastRefusalText(JsonNode artifact) {
        if (!artifact.has("lastRefusal")) {
            return "-";
        }
        return artifact.path("meaning").asText() + "; remedy: " + artifact.path("remedy").asText();
    }

    private static void appendRow(StringBuilder text, String... cells) {
        String line = String.format(Locale.ROOT, "%-32s %-24s %-16s %-9s %s", (Object[]) cells);
        text.append(line.stripTrailing()).append('\n');
    }
}
