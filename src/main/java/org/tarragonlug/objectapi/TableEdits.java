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
 * Maintains the edit metadata that a publisher stores in a table. {@code revision} increases with
 * each edit. {@code editedBy} and {@code editedAt} describe the last edit of the table, and {@code
 * rowEdits} the last edit of each row. With these fields a conflict can be explained without the
 * history of the table.
 */
final class TableEdits {
    private static final String REVISION = "revision";
    private static final String EDITED_BY = "editedBy";
    private static final String EDITED_AT = "editedAt";
    private static final String OPERATION = "operation";
    private static final String ROW_EDITS = "rowEdits";

    /** Number of latest revisions whose row edits are kept. This limits the size of the table. */
    private static final long REVISIONS_KEPT = 300;

    private TableEdits() {}

    static long revision(JsonNode table) {
        return table.path(REVISION).asLong(0);
    }

    static boolean isWrittenBy(JsonNode table, OperationId operation) {
        return table.path(OPERATION).asText().equals(operation.value());
    }

    /** Removes the edit metadata, which does not belong in the operator's file. */
    static void removeEditFields(ObjectNode table) {
        table.remove(List.of(REVISION, EDITED_BY, EDITED_AT, OPERATION, ROW_EDITS));
    }

    /**
     * Writes the metadata of an edit into the edited table, based on the metadata in the earlier
     * table.
     */
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

    /** Returns a text that names the rows edited after a revision, with editor and time. */
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
