package org.tarragonlug.objectapi;

import java.util.List;

/**
 * How one row of a table differs between the platform and a directory.
 *
 * @param table {@link TableCodec#ROUTES} or {@link TableCodec#POOLS}
 * @param row name of the row
 * @param kind what applying would do with the row
 * @param fields the differing fields; empty for added and removed rows
 */
public record RowDifference(String table, String row, Kind kind, List<Field> fields) {
    /** What applying would do. */
    public enum Kind {
        /** The row is new. */
        ADDED("+"),
        /** The row goes away. */
        REMOVED("-"),
        /** Fields of the row change. */
        CHANGED("~");

        private final String mark;

        Kind(String mark) {
            this.mark = mark;
        }
    }

    /**
     * One differing field.
     *
     * @param path its path within the row
     * @param before JSON text at the platform; empty if absent
     * @param after JSON text in the directory; empty if absent
     */
    public record Field(String path, String before, String after) {}

    public RowDifference {
        fields = List.copyOf(fields);
    }

    /** Returns one line for the row and one for each field. */
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
