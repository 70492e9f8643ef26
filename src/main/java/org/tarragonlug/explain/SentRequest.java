package org.tarragonlug.explain;

import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * One send of a request to a server, as the line about the request's end describes it.
 *
 * @param server id of the server
 * @param connection address of the server and local port of the connection; the port is 0 if there
 *     was no connection
 * @param earlierCalls calls that the connection had carried before
 * @param outcome what became of the send
 */
record SentRequest(String server, String connection, int earlierCalls, String outcome) {
    private static final Pattern SEND =
            Pattern.compile("([^,@\\s]+)@([^,\\s]+/\\d+)\\+(\\d+)/([A-Z_]+)/\\d+ms");

    private static final String NO_CONNECTION = "/0";

    /** Returns the sends that a text describes; descriptions that are cut short are left out. */
    static List<SentRequest> parse(String text) {
        List<SentRequest> sends = new ArrayList<>();
        Matcher matcher = SEND.matcher(text);
        while (matcher.find()) {
            sends.add(
                    new SentRequest(
                            matcher.group(1),
                            matcher.group(2),
                            Integer.parseInt(matcher.group(3)),
                            matcher.group(4)));
        }
        return sends;
    }

    /** Returns whether a connection was established for the send. */
    boolean hasConnection() {
        return !connection.endsWith(NO_CONNECTION);
    }
}
