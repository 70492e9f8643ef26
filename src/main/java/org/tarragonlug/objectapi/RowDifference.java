package org.tarragonlug.objectapi;

import java.util.List;

/**
 * The difference of one row between the platform's table and the table in an operator's directory.
 *
 * @param table {@link TableCodec#ROUTES} or {@link TableCodec#POOLS}
 * @param row name of the row
 * @param kind how applying the directory's table would change the row
 * @param fields the differing fields; empty for added and removed rows
 */
public record RowDifference(String table, String row, Kind kind, List<Field> fields) {
    /** How applying the directory's table would change a row. */
    public enum Kind {
        /** The row exists only in the directory and would be added. */
        ADDED("+"),
        /** The row exists only at the platform and would be removed. */
        REMOVED("-"),
        /** The row exists on both sides and some of its fields would change. */
        CHANGED("~");

        private final String mark;

        Kind(String mark) {
            this.mark = mark;
        }
    }

    /**
     * One differing field of a row.
     *
     * @param path path of the field within the row
     * @param before JSON text of the platform's value; empty if absent
     * @param after JSON text of the directory's value; empty if absent
     */
    public record Field(String path, String before, String after) {}

    public RowDifference {
        fields = List.copyOf(fields);
    }

    /** Returns the difference as text: one line for the row and one for each differing field. */
    public String text() {
        StringBuilder text = new StringBuilder();
        text.append(kind.mark).append(' ').append(table).append(' ').append(row).append('\n');
        for (Field field : fields) {
            text.append("    ").append(field.path()).append(": ");
            text.append(field.before().isEmpty() ? "(none)" : field.before());
            text.append(" -> ");
            text.append(field.after().isEmpty() ? "(none)" : field.after()).append('\n');
        }
        return text.toString();
    }
}
