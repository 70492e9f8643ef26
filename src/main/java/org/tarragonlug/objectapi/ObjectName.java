package org.tarragonlug.objectapi;

/**
 * Names an object of the object API; the text form is {@code kind/name}.
 *
 * @param kind such as {@code tables} or {@code capacity}
 * @param name unique within its kind
 */
public record ObjectName(String kind, String name) {
    @Override
    public String toString() {
        return kind + "/" + name;
    }
}
