package org.tarragonlug.runtime;

/**
 * A fault in settings or tables, as reported to the person who wrote them.
 *
 * @param path JSON path of the faulty field, such as {@code $.limits.drainTime}
 * @param found the faulty value, or a description of the fault
 * @param remedy how to correct the fault
 */
public record Fault(String path, String found, String remedy) {
    @Override
    public String toString() {
        return path + ": " + found + "; remedy: " + remedy;
    }
}
