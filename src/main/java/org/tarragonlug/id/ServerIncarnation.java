package org.tarragonlug.id;

/**
 * Identifies one run of a backend server's process. A server that starts again may keep its id.
 *
 * <p>The text form is the id, an at sign and the time of the start.
 *
 * @param server the server
 * @param startedMillis when the server's process started, in milliseconds since 1970 by its clock
 */
public record ServerIncarnation(ServerId server, long startedMillis) {
    /**
     * Parses the text form.
     *
     * @throws IllegalArgumentException if the id or the time is missing or malformed
     */
    public static ServerIncarnation parse(String text) {
        int separator = text.lastIndexOf('@');
        if (separator < 0) {
            throw new IllegalArgumentException("not a run of a server: " + text);
        }
        return new ServerIncarnation(
                new ServerId(text.substring(0, separator)),
                Long.parseLong(text.substring(separator + 1)));
    }

    // Written out, because the generated methods are linked at run time, which lengthens each
    // start.
    @Override
    public boolean equals(Object other) {
        return other instanceof ServerIncarnation that
                && server.equals(that.server)
                && startedMillis == that.startedMillis;
    }

    @Override
    public int hashCode() {
        return 31 * server.hashCode() + Long.hashCode(startedMillis);
    }

    @Override
    public String toString() {
        return server + "@" + startedMillis;
    }
}
