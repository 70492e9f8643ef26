package org.tarragonlug.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;

/**
 * The sends of one request, for the log line about its end.
 *
 * <p>What a refusal rests on is found from what happened on the connections. The coordinator
 * decides by its own count of possible runs, so the line also shows a decision that was wrong.
 */
final class SendHistory {
    /** Sends that are described; earlier ones are only counted. */
    private static final int DESCRIBED_SENDS = 5;

    private final List<ServerSend> latest = new ArrayList<>(1);
    private int count;
    private int ended;
    private int rejected;
    private int unwritten;

    void add(ServerSend send) {
        countOutcome();
        if (latest.size() == DESCRIBED_SENDS) {
            latest.remove(0);
        }
        latest.add(send);
        count++;
    }

    /** Counts the outcome of the last send, which has ended or ends now. */
    private void countOutcome() {
        if (ended == count) {
            return;
        }
        ServerSend last = last();
        rejected += last.isRejectedByServer() ? 1 : 0;
        unwritten += last.isUnwritten() ? 1 : 0;
        ended = count;
    }

    /** Returns the number of sends. */
    int count() {
        return count;
    }

    ServerSend last() {
        return latest.get(latest.size() - 1);
    }

    /** Returns the id of the server to which the request was sent last. */
    String lastServer() {
        return count == 0 ? "none" : last().server();
    }

    /** Returns the number of sends that servers rejected; the request must have ended. */
    int rejected() {
        countOutcome();
        return rejected;
    }

    /** Returns the number of sends that were never written; the request must have ended. */
    int unwritten() {
        countOutcome();
        return unwritten;
    }

    /** Returns on what the refusal of the request rests, which ends now. */
    NotRunGround groundOfRefusal() {
        if (count == 0) {
            return NotRunGround.NEVER_SENT;
        }
        if (unwritten() == count) {
            return NotRunGround.NEVER_WRITTEN;
        }
        return rejected() + unwritten() == count ? NotRunGround.REJECTED : NotRunGround.UNPROVEN;
    }

    /** Returns the last sends in their order, as {@link ServerSend#toString} describes them. */
    @Override
    public String toString() {
        return latest.stream().map(ServerSend::toString).collect(Collectors.joining(","));
    }
}
