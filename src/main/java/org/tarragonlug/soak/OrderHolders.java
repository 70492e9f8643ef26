package org.tarragonlug.soak;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Finds orders to a server that more than one holder of an order lease gives. Times are
 * milliseconds of one clock.
 */
final class OrderHolders {
    /** Term of a lease, from the pages: within it, holders must not take turns. */
    static final long LEASE_MILLIS = 3000;

    /** How long after a pause of their sender orders don't count, from the pages. */
    private static final long THAW_MILLIS = 300;

    /** The orders that a server has received. */
    private static final class Received {
        final Map<Long, String> holderOfToken = new HashMap<>();
        final Map<String, Long> lastMillis = new HashMap<>();

        /** What was found, since each of many orders of a wrong holder tells the same. */
        final Set<String> found = new HashSet<>();

        String lastHolder = "";
        long highestToken;
    }

    private final GatewayPauses pauses;
    private final Map<String, Received> servers = new HashMap<>();
    private int orders;

    OrderHolders(GatewayPauses pauses) {
        this.pauses = pauses;
    }

    /** Returns the number of orders so far. */
    int orders() {
        return orders;
    }

    /**
     * Records an order.
     *
     * @param gateway number of the gateway that gives it
     * @return what is wrong with it and was not returned before
     */
    List<String> onOrder(String server, String holder, int gateway, long token, long millis) {
        orders++;
        if (pauses.overlap(gateway, millis - THAW_MILLIS, millis) > 0) {
            return List.of();
        }
        Received received = servers.computeIfAbsent(server, added -> new Received());
        String order = "order of " + holder + " with token " + token + " to " + server + ": ";
        List<String> wrong = new ArrayList<>();
        String first = received.holderOfToken.putIfAbsent(token, holder);
        if (first != null && !first.equals(holder)) {
            wrong.add(order + "the token was used by " + first);
        }
        if (token < received.highestToken) {
            wrong.add(order + "token " + received.highestToken + " came before");
        }
        Long before = received.lastMillis.put(holder, millis);
        boolean returns = before != null && !received.lastHolder.equals(holder);
        if (returns && millis - before < LEASE_MILLIS) {
            wrong.add(order + "it takes turns with " + received.lastHolder);
        }
        received.highestToken = Math.max(received.highestToken, token);
        received.lastHolder = holder;
        wrong.removeIf(text -> !received.found.add(text));
        return wrong;
    }
}
