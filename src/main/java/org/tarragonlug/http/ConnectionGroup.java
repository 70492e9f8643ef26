package org.tarragonlug.http;

/**
 * Calls to one address that share kept connections. Calls of different groups never do, so the copy
 * of an answer to a call of one group is not taken for the answer to a call of another.
 *
 * @param name name of the group, the same for all addresses
 */
public record ConnectionGroup(String name) {
    /** The group of calls that name none. */
    public static final ConnectionGroup COMMON = new ConnectionGroup("");
}
