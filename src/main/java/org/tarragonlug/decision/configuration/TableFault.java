package org.tarragonlug.decision.configuration;

/**
 * A fault of the tables, as shown to operators.
 *
 * @param path JSON path, such as {@code $.routes[2].pool}
 * @param found description of the faulty value
 * @param remedy how to correct the fault
 */
public record TableFault(String path, String found, String remedy) {
    @Override
    public String toString() {
        return path + ": " + found + "; remedy: " + remedy;
    }
}
