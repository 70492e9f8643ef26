package org.tarragonlug.decision.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.time.Instant;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.tarragonlug.id.InstanceId;
import org.tarragonlug.id.ServerId;

/** Servers that crash and stay listed, while every instance may have a broken link of its own. */
class SuspectedServersTest {
    private static final int LISTED_SERVERS = 6;
    private static final ServerId LOST = new ServerId("lost");
    private static final InstanceId FIRST = new InstanceId("first");
    private static final InstanceId SECOND = new InstanceId("second");

    private final SuspectedServers suspected = new SuspectedServers();
    private Instant now = Instant.ofEpochSecond(1000);

    private void report(InstanceId from, ServerId... unreachable) {
        suspected.onReport(from, Set.of(unreachable), LISTED_SERVERS, now);
    }

    /**
     * Guards against models that are loaded elsewhere only when the listing of a server expires.
     */
    @Test
    void serverThatTwoInstancesCannotReachIsSuspected() {
        report(FIRST, LOST);
        report(SECOND, LOST);
        assertEquals(Set.of(LOST), suspected.current(now));
    }

    /** Guards against needless loads because one instance has lost its link to a server. */
    @Test
    void reportOfOneInstanceIsNotEnough() {
        report(FIRST, LOST);
        report(FIRST, LOST);
        assertEquals(Set.of(), suspected.current(now));
    }

    /** Guards against instances that are cut off together and report all servers. */
    @Test
    void instancesThatReachFewServersAreNotBelieved() {
        ServerId[] most = {LOST, new ServerId("b"), new ServerId("c"), new ServerId("d")};
        report(FIRST, most);
        report(SECOND, most);
        assertEquals(Set.of(), suspected.current(now));
    }

    @Test
    void suspicionEndsWhenAnInstanceReachesTheServer() {
        report(FIRST, LOST);
        report(SECOND, LOST);
        report(SECOND);
        assertEquals(Set.of(), suspected.current(now));
    }

    @Test
    void suspicionEndsWhenReportsStop() {
        report(FIRST, LOST);
        report(SECOND, LOST);
        now = now.plus(Duration.ofSeconds(5));
        assertEquals(Set.of(), suspected.current(now));
    }
}
