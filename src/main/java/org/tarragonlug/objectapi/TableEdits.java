package org.tarragonlug.objectapi;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import org.tarragonlug.id.OperationId;

/**
 * Who edited what: fields of a table that its publisher maintains. {@code revision} grows with each
 * edit, {@code editedBy} and {@code editedAt} name the last one, and {@code rowEdits} names the
 * last edit of each row, so that a conflict can be explained without the table's past.
 */
final class TableEdits {
    private static final String REVISION = "revision";
    private static final String EDITED_BY = "editedBy";
    private static final String EDITED_AT = "editedAt";
    private static final String OPERATION = "operation";
    private static final String ROW_EDITS = "rowEdits";

    /** Bounds the size of the table: older row edits are dropped. */
    private static final long REVISIONS_KEPT = 300;

    private TableEdits() {}

    static long revision(JsonNode table) {
        return table.path(REVISION).asLong(0);
    }

    static boolean isWrittenBy(JsonNode table, OperationId operation) {
        return table.path(OPERATION).asText().equals(operation.value());
    }

    /** Removes the fields that are maintained here, for the operator's file. */
    static void removeEditFields(ObjectNode table) {
        table.remove(List.of(REVISION, EDITED_BY, EDITED_AT, OPERATION, ROW_EDITS));
    }

    /** Marks a table as edited. */
    static void recordEdit(
            ObjectNode table,
            JsonNode earlier,
            List<RowDifference> differences,
            String editor,
            Instant now,
            OperationId operation) {
        long revision = revision(earlier) + 1;
        table.put(REVISION, revision);
        table.put(EDITED_BY, editor);
        table.put(EDITED_AT, now.toString());
        table.put(OPERATION, operation.value());
        ObjectNode rowEdits = table.putObject(ROW_EDITS);
        for (Iterator<Map.Entry<String, JsonNode>> all = earlier.path(ROW_EDITS).fields();
                all.hasNext(); ) {
            Map.Entry<String, JsonNode> edit = all.next();
            if (revision(edit.getValue()) > revision - REVISIONS_KEPT) {
                rowEdits.set(edit.getKey(), edit.getValue());
            }
        }
        for (RowDifference difference : differences) {
            rowEdits.putObject(difference.row())
                    .put("by", editor)
                    .put("at", now.toString())
                    .put(REVISION, revision);
        }
    }

    /** Names the rows edited after a revision, and by whom and when. */
    static String editsSince(JsonNode table, long revision) {
        List<String> edits = new ArrayList<>();
        table.path(ROW_EDITS)
                .fields()
                .forEachRemaining(
                        edit -> {
                            JsonNode value = edit.getValue();
                            if (revision(value) > revision) {
                                edits.add(
                                        "row '"
                                                + edit.getKey()
                                                + "' by "
                                                + value.path("by").asText()
                                                + " at "
                                                + value.path("at").asText());
                            }
                        });
        if (edits.isEmpty()) {
            return "edited by "
                    + table.path(EDITED_BY).asText("unknown")
                    + " at "
                    + table.path(EDITED_AT).asText("an unknown time");
        }
        return String.join(", ", edits);
    }
}
