package org.tarragonlug.decision.configuration;

import java.util.List;

/**
 * A table as read from the object API.
 *
 * @param objectVersion version of the object; 0 if the object does not exist
 * @param rows the rows that could be parsed
 * @param faults faults of the rows that could not be parsed
 * @param <R> type of the rows
 */
public record TableContent<R>(long objectVersion, List<R> rows, List<TableFault> faults) {
    public TableContent {
        rows = List.copyOf(rows);
        faults = List.copyOf(faults);
    }
}
