package org.tarragonlug.decision.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.tarragonlug.id.FailureDomain;
import org.tarragonlug.id.ServerId;
import org.tarragonlug.id.ServiceName;

/** The paces that many instances report, each of which gets few answers of a server. */
class PaceTotalsTest {
    private static final ServerId SLOW = new ServerId("slow");
    private static final ServerId USUAL = new ServerId("usual");

    private final PaceTotals totals = new PaceTotals();
    private final Random random = new Random(3);
    private Instant now = Instant.ofEpochSecond(1000);

    private int percent(double factor) {
        return (int) Math.round(100 * factor * Math.exp(0.4 * random.nextGaussian()));
    }

    /** Lets reports arrive for some seconds, of which a share is lost. */
    private void report(int seconds, double lost) {
        for (int report = 0; report < seconds * 5; report++) {
            now = now.plusMillis(200);
            if (random.nextDouble() >= lost) {
                totals.onReport(Map.of(SLOW, percent(1.8), USUAL, percent(1)), Map.of(), now);
            }
        }
    }

    private static FleetServer server(Fleet fleet, ServerId id, long startedMillis) {
        fleet.addOrUpdate(
                new ServerListing(
                        id,
                        new ServiceName("service"),
                        "10.0.0.1:1",
                        new FailureDomain("home"),
                        8,
                        ListedState.READY,
                        startedMillis,
                        Map.of(),
                        Set.of(),
                        Set.of()));
        return fleet.server(id).orElseThrow();
    }

    // Guards against a slow server that no instance alone can tell from the others.
    @Test
    void slowServerIsLearntFromReportsOfWhichHalfIsLost() {
        report(15, 0.5);
        Map<ServerId, Integer> learnt = totals.learnt(now);
        assertTrue(learnt.getOrDefault(SLOW, 100) > 125, learnt.toString());
        assertFalse(learnt.containsKey(USUAL), learnt.toString());
    }

    // Guards against learnt paces in every notice, and against gaps beyond their validity.
    @Test
    void learntPacesAreAnnouncedInOneOfFourPeriods() {
        report(15, 0);
        Duration period = Duration.ofMillis(400);
        int announced = 0;
        for (int notice = 0; notice < 12; notice++) {
            announced +=
                    totals.learntIfDue(period, now.plusMillis(400L * notice)).isEmpty() ? 0 : 1;
        }
        assertEquals(3, announced);
    }

    // Guards against announcements of servers that ended.
    @Test
    void serversWithoutReportsAreForgotten() {
        report(15, 0);
        now = now.plusSeconds(31);
        assertEquals(Map.of(), totals.learnt(now));
    }

    // Guards against an announced pace that outlives its planner.
    @Test
    void announcementExpiresWithoutPlanner() {
        Fleet fleet = new Fleet();
        FleetServer slow = server(fleet, SLOW, 1);
        fleet.recordPaces(Map.of(SLOW, 180), Map.of(), now);
        assertEquals(1.8, slow.pace().learnt(now));
        assertEquals(1, slow.pace().learnt(now.plus(Duration.ofSeconds(4))));
    }

    // Guards against the pace of an ended process that is held against its successor.
    @Test
    void restartedServerHasTheUsualPaceUntilTheNextAnnouncement() {
        Fleet fleet = new Fleet();
        server(fleet, SLOW, 1);
        fleet.recordPaces(Map.of(SLOW, 180), Map.of(SLOW, 250), now);
        FleetServer restarted = server(fleet, SLOW, 2);
        assertEquals(1, restarted.pace().learnt(now));
        assertEquals(1, restarted.pace().stated(now));
    }

    // Guards against an announced pace, which is older, that replaces what the server just said.
    @Test
    void announcementDoesNotReplaceNewStatement() {
        Fleet fleet = new Fleet();
        FleetServer server = server(fleet, SLOW, 1);
        server.pace().recordStated(100, now);
        fleet.recordPaces(Map.of(), Map.of(SLOW, 250), now.plusMillis(100));
        assertEquals(1, server.pace().stated(now.plusMillis(100)));
        fleet.recordPaces(Map.of(), Map.of(SLOW, 250), now.plusMillis(300));
        assertEquals(2.5, server.pace().stated(now.plusMillis(300)));
    }

    // Guards against a pace that instances report back and forth after the server stated it once.
    @Test
    void announcedPaceIsNotReportedAgain() {
        Fleet fleet = new Fleet();
        server(fleet, SLOW, 1);
        fleet.recordPaces(Map.of(), Map.of(SLOW, 250), now);
        assertEquals(Map.of(), fleet.statedPaces(now));
    }
}
