package org.tarragonlug.gateway;

import java.util.List;

/** The listed servers, the most preferred one first, and which one has the shared address. */
enum ExploredFleet {
    /** One server in all, so that each refusal is the end. */
    ONE_SERVER(ExploredWorld.OLD, List.of(ExploredWorld.OLD)),
    /** One server at each address. */
    TWO_SERVERS(ExploredWorld.OLD, List.of(ExploredWorld.OLD, ExploredWorld.OTHER)),
    /** The same, but the other server is preferred. */
    OTHER_SERVER_FIRST(ExploredWorld.OLD, List.of(ExploredWorld.OTHER, ExploredWorld.OLD)),
    /** A server has come back under another id, and its old entry is still listed. */
    REUSED_ADDRESS(
            ExploredWorld.NEW, List.of(ExploredWorld.OLD, ExploredWorld.NEW, ExploredWorld.OTHER));

    /** The random cost of a server falls with the number of leading ones of its hash. */
    private static final int ONES_PER_RANK = 8;

    private final String present;
    private final List<String> listed;

    ExploredFleet(String present, List<String> listed) {
        this.present = present;
        this.listed = listed;
    }

    /** Returns the id of the server that is at the shared address. */
    String present() {
        return present;
    }

    List<String> listed() {
        return listed;
    }

    /** Returns a hash that makes the selector prefer servers in the order of the list. */
    long preference(String requestAndServer) {
        String server = requestAndServer.substring(requestAndServer.indexOf('@') + 1);
        int rank = listed.contains(server) ? listed.indexOf(server) : listed.size();
        int leadingOnes = 1 + ONES_PER_RANK * (listed.size() - rank);
        return -1L << (Long.SIZE - leadingOnes);
    }
}
