package org.tarragonlug.runtime;

/**
 * One fault in settings or tables.
 *
 * @param path JSON path of the field, such as {@code $.limits.drainTime}
 * @param found what is wrong there
 * @param remedy what to do about it
 */
public record Fault(String path, String found, String remedy) {
    @Override
    public String toString() {
        return path + ": " + found + "; remedy: " + remedy;
    }
}
