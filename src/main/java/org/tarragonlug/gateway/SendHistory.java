package org.tarragonlug.gateway;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.tarragonlug.http.CallPosition;

/**
 * The sends of one request, for the log line about its end.
 *
 * <p>What a refusal rests on is found from what the servers answered and on which connections. The
 * coordinator decides by its own count of possible runs, and does not know connections, so the line
 * also shows a decision that may be wrong.
 */
final class SendHistory {
    /** Sends that are described; earlier ones are only counted. */
    private static final int DESCRIBED_SENDS = 5;

    private final List<ServerSend> latest = new ArrayList<>(1);
    private int count;
    private int droppedRejected;
    private int droppedUnwritten;

    void add(ServerSend send) {
        if (latest.size() == DESCRIBED_SENDS) {
            drop(latest.stream().filter(ServerSend::hasEnded).findFirst().orElse(latest.get(0)));
        }
        latest.add(send);
        count++;
    }

    /** Keeps no more of a send than how it ended. */
    private void drop(ServerSend send) {
        latest.remove(send);
        droppedRejected += send.isRejectedByServer() ? 1 : 0;
        droppedUnwritten += send.isUnwritten() ? 1 : 0;
    }

    /** Returns the number of sends. */
    int count() {
        return count;
    }

    /** Returns the server that answered the request, else the one to which it was sent last. */
    String lastServer() {
        if (count == 0) {
            return "none";
        }
        ServerSend last = latest.get(latest.size() - 1);
        return latest.stream()
                .filter(ServerSend::isAnswered)
                .reduce((earlier, later) -> later)
                .orElse(last)
                .server();
    }

    /** Returns the number of sends that servers rejected; the request must have ended. */
    int rejected() {
        return droppedRejected
                + (int) latest.stream().filter(ServerSend::isRejectedByServer).count();
    }

    /** Returns the number of sends that were never written; the request must have ended. */
    int unwritten() {
        return droppedUnwritten + (int) latest.stream().filter(ServerSend::isUnwritten).count();
    }

    /** Returns on what the refusal of the request rests, which ends now. */
    NotRunGround groundOfRefusal() {
        if (count == 0) {
            return NotRunGround.NEVER_SENT;
        }
        if (unwritten() == count) {
            return NotRunGround.NEVER_WRITTEN;
        }
        boolean proven = rejected() + unwritten() == count && !repeatsConnection();
        return proven ? NotRunGround.REJECTED : NotRunGround.UNPROVEN;
    }

    /**
     * Returns whether one of the described sends had the connection of one before it. Its rejection
     * may then be a late copy of the earlier one. A port is used again by a later connection, which
     * has carried no calls.
     */
    private boolean repeatsConnection() {
        Set<String> connections = new HashSet<>();
        boolean repeated = false;
        for (ServerSend send : latest) {
            int earlierCalls = send.position().map(CallPosition::earlierCalls).orElse(0);
            repeated |= !connections.add(send.connection()) && earlierCalls > 0;
        }
        return repeated;
    }

    /** Returns the last sends in their order, as {@link ServerSend#toString} describes them. */
    @Override
    public String toString() {
        return latest.stream().map(ServerSend::toString).collect(Collectors.joining(","));
    }
}
