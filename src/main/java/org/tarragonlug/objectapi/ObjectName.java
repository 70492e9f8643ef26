package org.tarragonlug.objectapi;

/**
 * The name of an object in the object API. The text form is {@code kind/name}.
 *
 * @param kind kind of the object, such as {@code tables} or {@code capacity}
 * @param name name of the object, unique within its kind
 */
public record ObjectName(String kind, String name) {
    @Override
    public String toString() {
        return kind + "/" + name;
    }
}
