package org.tarragonlug.objectapi;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/** Compares two JSON forms of a table by row name and field. */
final class TableComparison {
    private final String rowsName;

    TableComparison(String rowsName) {
        this.rowsName = rowsName;
    }

    List<RowDifference> compare(JsonNode before, JsonNode after) {
        Map<String, JsonNode> oldRows = rows(before);
        Map<String, JsonNode> newRows = rows(after);
        Set<String> names = new TreeSet<>(oldRows.keySet());
        names.addAll(newRows.keySet());
        List<RowDifference> differences = new ArrayList<>();
        for (String name : names) {
            JsonNode oldRow = oldRows.get(name);
            JsonNode newRow = newRows.get(name);
            if (oldRow == null) {
                differences.add(difference(name, RowDifference.Kind.ADDED, List.of()));
            } else if (newRow == null) {
                differences.add(difference(name, RowDifference.Kind.REMOVED, List.of()));
            } else {
                List<RowDifference.Field> fields = new ArrayList<>();
                compare("", oldRow, newRow, fields);
                if (!fields.isEmpty()) {
                    differences.add(difference(name, RowDifference.Kind.CHANGED, fields));
                }
            }
        }
        return differences;
    }

    private RowDifference difference(
            String name, RowDifference.Kind kind, List<RowDifference.Field> fields) {
        return new RowDifference(rowsName, name, kind, fields);
    }

    private Map<String, JsonNode> rows(JsonNode table) {
        Map<String, JsonNode> rows = new LinkedHashMap<>();
        table.path(rowsName).forEach(row -> rows.put(row.path("name").asText(), row));
        return rows;
    }

    private static void compare(
            String path, JsonNode before, JsonNode after, List<RowDifference.Field> fields) {
        if (before.equals(after)) {
            return;
        }
        if (before.isObject() && after.isObject()) {
            Set<String> names = new TreeSet<>();
            before.fieldNames().forEachRemaining(names::add);
            after.fieldNames().forEachRemaining(names::add);
            String prefix = path.isEmpty() ? "" : path + ".";
            names.forEach(
                    name -> compare(prefix + name, before.path(name), after.path(name), fields));
        } else if (isArtifacts(before) && isArtifacts(after)) {
            compareArtifacts(path, before, after, fields);
        } else {
            fields.add(new RowDifference.Field(path, text(before), text(after)));
        }
    }

    /**
     * Returns whether array elements are identified by their artifact instead of their position.
     */
    private static boolean isArtifacts(JsonNode array) {
        return array.isArray() && !array.isEmpty() && array.get(0).has("artifact");
    }

    private static void compareArtifacts(
            String path, JsonNode before, JsonNode after, List<RowDifference.Field> fields) {
        Map<String, JsonNode> oldElements = byArtifact(before);
        Map<String, JsonNode> newElements = byArtifact(after);
        Set<String> names = new TreeSet<>(oldElements.keySet());
        names.addAll(newElements.keySet());
        JsonNode absent = before.path(-1);
        for (String name : names) {
            compare(
                    path + "[" + name + "]",
                    oldElements.getOrDefault(name, absent),
                    newElements.getOrDefault(name, absent),
                    fields);
        }
    }

    private static Map<String, JsonNode> byArtifact(JsonNode array) {
        Map<String, JsonNode> elements = new LinkedHashMap<>();
        array.forEach(element -> elements.put(element.path("artifact").asText(), element));
        return elements;
    }

    private static String text(JsonNode value) {
        return value.isMissingNode() ? "" : value.toString();
    }
}
