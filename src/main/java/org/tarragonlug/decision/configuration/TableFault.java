package org.tarragonlug.decision.configuration;

/**
 * One fault of the tables, as shown to operators.
 *
 * @param path JSON path, such as {@code $.routes[2].pool}
 * @param found what was found there
 * @param remedy what to do about it
 */
public record TableFault(String path, String found, String remedy) {
    @Override
    public String toString() {
        return path + ": " + found + "; remedy: " + remedy;
    }
}
