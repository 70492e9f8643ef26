package org.tarragonlug.decision.configuration;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.tarragonlug.id.ServerGroup;

/** Checks the tables of routes and pools together, after each could be parsed. */
public final class TableChecker {
    private TableChecker() {}

    /**
     * Finds every fault.
     *
     * @param routes rows of the table of routes, in the order of the table
     * @param pools rows of the table of pools, in the order of the table
     * @param serverMemory memory of the largest known server of each group, bytes; groups that are
     *     not known are not checked for memory
     * @return all faults, those of pools first; empty if the tables are valid
     */
    public static List<TableFault> check(
            List<Route> routes, List<Pool> pools, Map<ServerGroup, Long> serverMemory) {
        FaultList faults = new FaultList();
        new PoolChecker(pools, serverMemory, faults).check();
        new RouteChecker(routes, pools, faults).check();
        return faults.all();
    }

    /** Reports names that occur a second time. */
    static void checkUnique(String table, List<String> names, FaultList faults) {
        Map<String, Integer> firstRows = new HashMap<>();
        for (int index = 0; index < names.size(); index++) {
            Integer firstRow = firstRows.putIfAbsent(names.get(index), index);
            if (firstRow != null) {
                faults.add(
                        "$." + table + "[" + index + "].name",
                        "'" + names.get(index) + "' is also the name of row " + firstRow,
                        "give each row its own name");
            }
        }
    }
}
