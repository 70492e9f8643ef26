package org.tarragonlug.decision.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.tarragonlug.decision.forwarding.ForwardingFixture.ENGINES;
import static org.tarragonlug.decision.forwarding.ForwardingFixture.HOST;
import static org.tarragonlug.decision.forwarding.ForwardingFixture.RECORDS;
import static org.tarragonlug.decision.forwarding.ForwardingFixture.find;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.tarragonlug.decision.account.AccountDirectory;
import org.tarragonlug.decision.account.ClientAccount;
import org.tarragonlug.decision.account.Credential;
import org.tarragonlug.decision.account.KeyDigest;
import org.tarragonlug.id.AccountName;
import org.tarragonlug.id.ConfigurationVersion;
import org.tarragonlug.id.ModelKey;

/** Requests with and without keys, in virtual time. */
class ForwardingAccountsTest {
    private static final Credential KNOWN = key(1);
    private static final Credential OTHER = key(2);

    private final ForwardingFixture fixture = new ForwardingFixture();
    private long lastKey = 100;

    private static Credential key(int value) {
        byte[] bytes = new byte[KeyDigest.BYTES];
        bytes[0] = (byte) value;
        return Credential.of(new KeyDigest(bytes));
    }

    private static ClientAccount account(String name, Credential key, OptionalInt priority) {
        return new ClientAccount(
                new AccountName(name),
                Set.of(key.digest().orElseThrow()),
                priority,
                Optional.empty());
    }

    private static ClientAccount account(String name, Credential key) {
        return account(name, key, OptionalInt.empty());
    }

    private static ForwardingRoute publicRoute() {
        ForwardingRoute route =
                ForwardingFixture.route("/open/", RequestKind.IDEMPOTENT, 2, false, RECORDS);
        return new ForwardingRoute(
                route.name(),
                HOST,
                route.pathPrefix(),
                route.kind(),
                route.timeout(),
                route.targetLatency(),
                route.priority(),
                route.targets(),
                route.maximumAttempts(),
                route.resumable(),
                route.gapTarget(),
                true);
    }

    private List<ForwardingCommand> install(long version, ClientAccount... accounts) {
        ForwardingTable plain =
                ForwardingFixture.table(
                        version,
                        ForwardingFixture.route("/ask/", RequestKind.STREAMING, 2, true, ENGINES),
                        ForwardingFixture.route(
                                "/read/", RequestKind.IDEMPOTENT, 2, false, RECORDS),
                        publicRoute());
        return fixture.handle(
                new ForwardingEvent.TableInstalled(
                        new ForwardingTable(
                                new ConfigurationVersion(version),
                                List.of(
                                        plain.route(HOST, "/ask/").orElseThrow(),
                                        plain.route(HOST, "/read/").orElseThrow(),
                                        publicRoute()),
                                List.copyOf(plain.services().values()),
                                OptionalLong.empty(),
                                new AccountDirectory(List.of(accounts)))));
    }

    private List<ForwardingCommand> head(String path, Credential credential) {
        lastKey++;
        return fixture.handle(
                new ForwardingEvent.RequestHeadArrived(
                        new RequestHead(lastKey, HOST, path, credential)));
    }

    private List<ForwardingCommand> arrive(String path, String model, Credential credential) {
        lastKey++;
        return fixture.handle(
                new ForwardingEvent.RequestArrived(
                        new ForwardRequest(
                                lastKey,
                                "request-" + lastKey,
                                HOST,
                                path,
                                Optional.of(Duration.ofSeconds(6)),
                                model.isEmpty()
                                        ? Optional.empty()
                                        : Optional.of(ModelKey.parse(model)),
                                PromptPrefix.NONE,
                                10,
                                10,
                                -1,
                                lastKey,
                                credential)));
    }

    private List<ForwardingCommand> read(boolean succeeded) {
        return fixture.handle(new ForwardingEvent.ConfigurationRead(succeeded));
    }

    private static RefusalReason refusal(List<ForwardingCommand> commands) {
        return find(commands, ForwardingCommand.Refuse.class).orElseThrow().reason();
    }

    private static boolean receivesBody(List<ForwardingCommand> commands) {
        return find(commands, ForwardingCommand.ReceiveBody.class).isPresent();
    }

    private static boolean reads(List<ForwardingCommand> commands) {
        return find(commands, ForwardingCommand.ReadConfiguration.class).isPresent();
    }

    @Nested
    class Heads {
        @Test
        void requestWithValidKeyIsReadAndSentForItsAccount() {
            install(1, account("a", KNOWN));
            fixture.withServer("r1", RECORDS);
            assertTrue(receivesBody(head("/read/", KNOWN)));
            ForwardingCommand.Send send =
                    find(arrive("/read/", "", KNOWN), ForwardingCommand.Send.class).orElseThrow();
            assertEquals(Optional.of(new AccountName("a")), send.account());
            assertTrue(send.credentialRemoved());
        }

        @Test
        void requestWithoutKeyIsRefusedAtOnce() {
            install(1, account("a", KNOWN));
            for (Credential credential : List.of(Credential.ABSENT, Credential.MALFORMED)) {
                assertEquals(RefusalReason.KEY_UNKNOWN, refusal(head("/read/", credential)));
                assertEquals(RefusalReason.KEY_UNKNOWN, refusal(arrive("/read/", "", credential)));
            }
            assertEquals(401, RefusalReason.KEY_UNKNOWN.status());
        }

        // Guards against statuses that a caller does not retry while nothing is known yet.
        @Test
        void missingConfigurationAndMissingRouteGoBeforeTheKey() {
            assertTrue(receivesBody(head("/read/", Credential.ABSENT)));
            assertEquals(
                    RefusalReason.NO_CONFIGURATION,
                    refusal(arrive("/read/", "", Credential.ABSENT)));
            install(1, account("a", KNOWN));
            assertTrue(receivesBody(head("/none/", Credential.ABSENT)));
            assertEquals(RefusalReason.NO_ROUTE, refusal(arrive("/none/", "", Credential.ABSENT)));
        }

        @Test
        void publicRouteNeedsNoKeyAndHidesIt() {
            install(1, account("a", KNOWN));
            fixture.withServer("r1", RECORDS);
            for (Credential credential : List.of(Credential.ABSENT, OTHER, KNOWN)) {
                assertTrue(receivesBody(head("/open/", credential)));
                ForwardingCommand.Send send =
                        find(arrive("/open/", "", credential), ForwardingCommand.Send.class)
                                .orElseThrow();
                assertTrue(send.account().isEmpty());
                assertTrue(send.credentialRemoved());
            }
        }

        @Test
        void nothingChangesWithoutAccounts() {
            install(1);
            fixture.withServer("r1", RECORDS);
            assertTrue(receivesBody(head("/read/", OTHER)));
            ForwardingCommand.Send send =
                    find(arrive("/read/", "", OTHER), ForwardingCommand.Send.class).orElseThrow();
            assertTrue(send.account().isEmpty());
            assertTrue(!send.credentialRemoved() && !fixture.coordinator.needsKeys());
        }

        // Guards against a key that reaches a server because accounts were added or removed while
        // the request waited.
        @Test
        void keyOfAWaitingRequestStaysHiddenWhenTheAccountsChange() {
            install(1, account("a", KNOWN));
            arrive("/read/", "", KNOWN);
            install(2);
            ForwardingCommand.Send first =
                    find(sendsTo("r1"), ForwardingCommand.Send.class).orElseThrow();
            assertTrue(first.credentialRemoved());
            fixture.handle(new ForwardingEvent.ServerUnlisted(first.server()));
            arrive("/read/", "", KNOWN);
            install(3, account("a", KNOWN));
            assertTrue(
                    find(sendsTo("r2"), ForwardingCommand.Send.class)
                            .orElseThrow()
                            .credentialRemoved());
        }

        private List<ForwardingCommand> sendsTo(String server) {
            return fixture.handle(
                    new ForwardingEvent.ServerListed(fixture.listing(server, RECORDS)));
        }
    }

    @Nested
    class UnknownKeys {
        @Test
        void requestIsRefusedWhenTheNewestConfigurationDoesNotHaveItsKey() {
            install(1, account("a", KNOWN));
            assertTrue(reads(head("/read/", OTHER)));
            assertEquals(RefusalReason.KEY_UNKNOWN, refusal(read(true)));
            assertEquals(RefusalReason.KEY_UNKNOWN, refusal(head("/read/", OTHER)));
        }

        // Guards against a valid key that is refused for good at an instance that lags behind.
        @Test
        void requestPassesWhenItsKeyWasWrittenAMomentAgo() {
            install(1, account("a", KNOWN));
            fixture.withServer("r1", RECORDS);
            assertTrue(reads(head("/read/", OTHER)));
            assertTrue(receivesBody(install(2, account("a", KNOWN), account("b", OTHER))));
            assertTrue(read(true).isEmpty());
            Credential third = key(3);
            fixture.now = fixture.now.plus(KeyGate.READ_INTERVAL);
            assertTrue(reads(arrive("/read/", "", third)));
            ForwardingCommand.Send send =
                    find(install(3, account("c", third)), ForwardingCommand.Send.class)
                            .orElseThrow();
            assertEquals(Optional.of(new AccountName("c")), send.account());
        }

        @Test
        void requestMayReturnWhenTheStoreDoesNotAnswer() {
            install(1, account("a", KNOWN));
            head("/read/", OTHER);
            assertEquals(RefusalReason.KEY_UNCONFIRMED, refusal(read(false)));
            head("/read/", OTHER);
            assertEquals(
                    RefusalReason.KEY_UNCONFIRMED, refusal(fixture.advance(KeyGate.LONGEST_HOLD)));
        }

        // Guards against unknown keys that cause a call to the store for each request.
        @Test
        void oneReadAnswersAllThatArrivedBeforeIt() {
            install(1, account("a", KNOWN));
            int reads = 0;
            int refusals = 0;
            for (int step = 0; step < 100; step++) {
                List<ForwardingCommand> commands = new ArrayList<>(head("/read/", key(step + 2)));
                commands.addAll(fixture.advance(Duration.ofMillis(40)));
                if (reads(commands)) {
                    reads++;
                    commands.addAll(read(true));
                }
                refusals +=
                        commands.stream()
                                .filter(ForwardingCommand.Refuse.class::isInstance)
                                .filter(each -> refusal(List.of(each)).status() == 401)
                                .count();
            }
            assertTrue(reads >= 4 && reads <= 5, "reads: " + reads);
            assertTrue(refusals >= 75, "refusals: " + refusals);
        }

        // Guards against a read that began before a key was written.
        @Test
        void readThatBeganBeforeTheRequestDoesNotDecide() {
            install(1, account("a", KNOWN));
            head("/read/", OTHER);
            fixture.now = fixture.now.plusMillis(1);
            head("/read/", key(3));
            List<ForwardingCommand> commands = read(true);
            assertEquals(1, commands.size(), commands.toString());
            assertTrue(reads(fixture.advance(KeyGate.READ_INTERVAL)));
            assertEquals(RefusalReason.KEY_UNKNOWN, refusal(read(true)));
        }

        // Guards against memory that grows with the callers whose keys are unknown.
        @Test
        void numberOfHeldRequestsIsLimited() {
            install(1, account("a", KNOWN));
            for (int count = 0; count < KeyGate.MAX_HELD; count++) {
                assertTrue(find(head("/read/", OTHER), ForwardingCommand.Refuse.class).isEmpty());
            }
            assertEquals(RefusalReason.KEY_UNCONFIRMED, refusal(head("/read/", OTHER)));
        }

        @Test
        void requestOfACallerThatLeftIsForgotten() {
            install(1, account("a", KNOWN));
            arrive("/read/", "", OTHER);
            fixture.handle(new ForwardingEvent.CallerDisconnected(lastKey));
            assertTrue(read(true).isEmpty());
        }
    }

    @Nested
    class Priority {
        private final ClientAccount urgent = account("urgent", KNOWN, OptionalInt.of(0));
        private final ClientAccount patient = account("patient", OTHER, OptionalInt.of(2));
        private final ClientAccount usual = account("usual", key(3));

        private int urgency(Credential key) {
            return find(arrive("/ask/", "m", key), ForwardingCommand.Send.class)
                    .orElseThrow()
                    .urgency();
        }

        private int waitingPriority(Credential key) {
            return find(arrive("/ask/", "n", key), ForwardingCommand.ReportWaiting.class)
                    .orElseThrow()
                    .priority();
        }

        // Guards against places where the priority of the route still counts.
        @Test
        void accountPriorityReplacesThatOfTheRoute() {
            install(1, urgent, patient, usual);
            assertEquals(0, waitingPriority(KNOWN));
            assertEquals(1, waitingPriority(key(3)));
            assertEquals(2, waitingPriority(OTHER));
            fixture.withServer("e1", ENGINES, "m");
            int least = 9;
            int most = 0;
            for (int count = 0; count < 40; count++) {
                least = Math.min(least, urgency(OTHER));
                most = Math.max(most, urgency(KNOWN));
            }
            assertTrue(least >= 3 && most <= 3, least + " " + most);
        }
    }
}
