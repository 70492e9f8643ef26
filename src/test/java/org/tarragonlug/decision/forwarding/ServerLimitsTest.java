package org.tarragonlug.decision.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.tarragonlug.decision.forwarding.ForwardingFixture.ENGINES;
import static org.tarragonlug.decision.forwarding.ForwardingFixture.RECORDS;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.tarragonlug.id.ServerId;
import org.tarragonlug.id.ServiceName;

/** Which servers are limited, and which requests exceed a limit. */
class ServerLimitsTest {
    private static final int REQUESTS = 30;

    private final ForwardingFixture fixture = new ForwardingFixture().withRoutes();
    private final List<ForwardingCommand> commands = new ArrayList<>();

    private void advance(long millis) {
        commands.addAll(fixture.advance(Duration.ofMillis(millis)));
    }

    private void arrive(int count, String path, String model) {
        for (int number = 0; number < count; number++) {
            commands.addAll(fixture.arrive(path, model));
        }
    }

    private long sentTo(String server) {
        return commands.stream()
                .filter(ForwardingCommand.Send.class::isInstance)
                .map(ForwardingCommand.Send.class::cast)
                .filter(send -> send.server().equals(new ServerId(server)))
                .count();
    }

    private long refused() {
        return commands.stream().filter(ForwardingCommand.Refuse.class::isInstance).count();
    }

    private int limited(LimitCause cause) {
        return fixture.coordinator.fleet().countByLimitCause(fixture.now).get(cause);
    }

    private void restart(String id, ServiceName service, String model) {
        ServerListing before = fixture.listing(id, service, model);
        fixture.handle(
                new ForwardingEvent.ServerListed(
                        new ServerListing(
                                before.id(),
                                service,
                                before.address(),
                                before.failureDomain(),
                                before.slots(),
                                ListedState.READY,
                                before.startedMillis() + 1,
                                before.models(),
                                Set.of(),
                                Set.of())));
    }

    /** Lets a request arrive that the server rejects because it wants a pause. */
    private void pause(Duration length) {
        ForwardingCommand.Send send =
                ForwardingFixture.find(fixture.arrive("/issue/1", ""), ForwardingCommand.Send.class)
                        .orElseThrow();
        ServerNotice notice = new ServerNotice(false, Optional.of(length));
        fixture.handle(new ForwardingEvent.ServerNoticed(fixture.attempt(send.request()), notice));
        fixture.handle(
                new ForwardingEvent.Rejected(
                        fixture.attempt(send.request()), Rejection.BUSY, Optional.empty()));
    }

    // Guards against requests that wait or are refused at the start of a whole deployment, when all
    // servers are new and there is nothing to compare them with.
    @Test
    void serversThatAreListedTogetherAreNotLimited() {
        fixture.withServer("one", RECORDS);
        advance(3000);
        fixture.withServer("two", RECORDS);
        advance(100);
        assertEquals(0, limited(LimitCause.START));
        arrive(REQUESTS, "/issue/1", "");
        assertEquals(REQUESTS, sentTo("one") + sentTo("two"));
        assertTrue(sentTo("two") >= REQUESTS / 3, "sent: " + sentTo("two"));
    }

    // Guards against a server that starts beside others and at once gets most requests, since it
    // has none.
    @ParameterizedTest
    @CsvSource({"/issue/1, ''", "/read/1, ''", "/ask/1, m"})
    void serverThatStartsBesideOthersIsLimited(String path, String model) {
        ServiceName service = model.isEmpty() ? RECORDS : ENGINES;
        fixture.withServer("one", service, "m").withServer("two", service, "m");
        advance(6000);
        restart("two", service, "m");
        arrive(REQUESTS, path, model);
        assertEquals(1, limited(LimitCause.START));
        assertEquals(2, sentTo("two"));
        assertEquals(REQUESTS - 2, sentTo("one"));
    }

    // Guards against requests that wait or are refused because of the limit of the only server that
    // holds their model.
    @Test
    void onlyServerWithAModelIsUsedWithoutLimit() {
        fixture.withServer("one", ENGINES, "m").withServer("two", ENGINES, "other");
        advance(6000);
        restart("two", ENGINES, "other");
        arrive(REQUESTS, "/ask/1", "other");
        assertEquals(REQUESTS, sentTo("two"));
    }

    // Guards against a run of a server that is limited as a new one when its listing comes back
    // after an outage of the store.
    @Test
    void runThatIsListedAgainIsNotLimited() {
        fixture.withServer("one", RECORDS).withServer("two", RECORDS);
        advance(6000);
        fixture.handle(new ForwardingEvent.ServerUnlisted(new ServerId("two")));
        advance(4000);
        fixture.withServer("two", RECORDS);
        advance(100);
        assertEquals(0, limited(LimitCause.START));
    }

    // Guards against a pause that is followed by all waiting requests at once since the listing of
    // the server was away in the meantime.
    @Test
    void limitAfterAPauseOutlivesTheListing() {
        fixture.withServer("one", RECORDS);
        pause(Duration.ofSeconds(2));
        fixture.handle(new ForwardingEvent.ServerUnlisted(new ServerId("one")));
        fixture.withServer("one", RECORDS);
        advance(2020);
        arrive(10, "/issue/1", "");
        assertEquals(2, sentTo("one"));
    }

    // Guards against refusals of plain requests that arrive just after a pause of their only
    // server, while it has requests and its limit is low.
    @Test
    void plainRequestIsSentBeforeItIsRefusedBecauseOfTheLimit() {
        fixture.withServer("one", RECORDS);
        pause(Duration.ofMillis(500));
        advance(500);
        arrive(REQUESTS, "/issue/1", "");
        advance(300);
        assertEquals(REQUESTS, sentTo("one"));
        assertEquals(0, refused());
    }

    // Guards against limits that no log line shows, and against a line for each request.
    @Test
    void eachBeginningAndEndIsReportedOnce() {
        fixture.withServer("one", RECORDS).withServer("two", RECORDS);
        advance(6000);
        restart("two", RECORDS, "m");
        advance(10_000);
        List<ForwardingCommand.ReportLimit> reports =
                commands.stream()
                        .filter(ForwardingCommand.ReportLimit.class::isInstance)
                        .map(ForwardingCommand.ReportLimit.class::cast)
                        .toList();
        assertEquals(List.of(true, false), reports.stream().map(each -> each.begins()).toList());
        assertEquals(LimitCause.START, reports.get(1).cause());
    }

    // Guards against a server without models whose limit ends before it can show its pace: the
    // first model arrives seconds after the start.
    @Test
    void limitBeginsWithTheFirstModel() {
        fixture.withServer("one", ENGINES, "m");
        advance(6000);
        fixture.withServer("two", ENGINES);
        advance(15_000);
        fixture.withServer("two", ENGINES, "m");
        arrive(REQUESTS, "/ask/1", "m");
        assertEquals(2, sentTo("two"));
    }

    // Guards against a server that keeps getting requests while it makes no progress with them.
    @Test
    void serverWithoutProgressIsLimited() {
        fixture.withServer("one", RECORDS).withServer("two", RECORDS);
        arrive(10, "/issue/1", "");
        advance(3000);
        assertEquals(2, limited(LimitCause.SLOW));
    }
}
