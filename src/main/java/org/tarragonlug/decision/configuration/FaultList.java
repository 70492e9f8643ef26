package org.tarragonlug.decision.configuration;

import java.util.ArrayList;
import java.util.List;

/** Collects the faults that a check of the tables finds. */
final class FaultList {
    private final List<TableFault> faults = new ArrayList<>();

    void add(String path, String found, String remedy) {
        faults.add(new TableFault(path, found, remedy));
    }

    /** Adds a fault if the condition does not hold. */
    void require(boolean holds, String path, Object found, String remedy) {
        if (!holds) {
            add(path, String.valueOf(found), remedy);
        }
    }

    List<TableFault> all() {
        return List.copyOf(faults);
    }
}
