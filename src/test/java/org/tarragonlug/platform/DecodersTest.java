package org.tarragonlug.platform;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.tarragonlug.decision.account.ClientAccount;
import org.tarragonlug.decision.account.Credential;
import org.tarragonlug.decision.account.Quota;
import org.tarragonlug.decision.account.QuotaUnit;
import org.tarragonlug.decision.forwarding.ForwardAttempt;
import org.tarragonlug.decision.forwarding.ForwardRequest;
import org.tarragonlug.decision.forwarding.ForwardingCommand;
import org.tarragonlug.decision.forwarding.ForwardingTable;
import org.tarragonlug.decision.forwarding.ListedState;
import org.tarragonlug.decision.forwarding.NoticeFault;
import org.tarragonlug.decision.forwarding.ReportedLoad;
import org.tarragonlug.decision.forwarding.ServerListing;
import org.tarragonlug.decision.forwarding.ServerNotice;
import org.tarragonlug.id.AccountName;
import org.tarragonlug.id.ModelKey;
import org.tarragonlug.id.ReservationId;
import org.tarragonlug.id.ServerId;
import org.tarragonlug.objectapi.ObjectName;
import org.tarragonlug.objectapi.StoredObject;
import org.tarragonlug.runtime.Json;

class DecodersTest {
    private static final String ENTRY =
            """
            {"service": "s", "address": "10.0.0.9:80", "zone": "z", "slots": 8, "state": "%s",
             "seq": 4, "born": 77, "models": [{"name": "m", "version": 1, "adapters": ["a1@2"]}],
             "available": {"in_memory": ["m"], "on_disk": ["m", "n"]}}
            """;

    private static StoredObject object(String content) throws Exception {
        return new StoredObject(new ObjectName("servers", "i-1"), 5, Json.read(content.getBytes()));
    }

    @Nested
    class ServerListings {
        @Test
        void decodesModelsAndCopies() throws Exception {
            ServerListing listing = ServerEntryDecoder.decode(object(ENTRY.formatted("ready")));
            assertEquals(Map.of("m", Set.of("a1")), listing.models());
            assertEquals(Set.of("m", "n"), listing.onDisk());
            assertEquals(77, listing.startedMillis());
        }

        @Test
        void decodesDrainingServerAsLeaving() throws Exception {
            assertEquals(
                    ListedState.LEAVING,
                    ServerEntryDecoder.decode(object(ENTRY.formatted("draining"))).state());
        }

        @Test
        void rejectsEntriesOfOtherWriters() {
            for (String content :
                    new String[] {
                        "\"bytes\"",
                        "{}",
                        "null",
                        "[]",
                        ENTRY.formatted("strange"),
                        ENTRY.formatted("ready").replace("10.0.0.9:80", "nowhere"),
                        ENTRY.formatted("ready").replace("\"slots\": 8", "\"slots\": \"8\"")
                    }) {
                assertThrows(
                        IllegalArgumentException.class,
                        () -> ServerEntryDecoder.decode(object(content)),
                        content);
            }
        }
    }

    /** What servers say about themselves in the heads of their answers. */
    @Nested
    class Notices {
        private static ServerNotice notice(int status, Map<String, String> headers) {
            return ServerAnswer.decode(status, headers, "i-1").notice();
        }

        @ParameterizedTest
        @CsvSource({
            "503, 2, 2000",
            "503, 1.25, 1250",
            "503, ' 3 ', 3000",
            "503, 99999999, 3600000",
            "503, 0, 0",
            "503, -1, 0",
            "503, NaN, 0",
            "503, soon, 0",
            "429, 2, 0",
            "200, 2, 0"
        })
        void pauseIsTheRetryAfterOfAnUnavailableServer(int status, String text, long millis) {
            Duration pause =
                    notice(status, Map.of("retry-after", text)).pause().orElse(Duration.ZERO);
            assertEquals(Duration.ofMillis(millis), pause);
        }

        // Guards against odd values that end in an exception, in a server that is kept out, or in
        // silence.
        @ParameterizedTest
        @CsvSource({
            "503, retry-after, -1, PAUSE_UNREADABLE",
            "503, retry-after, '', PAUSE_UNREADABLE",
            "503, retry-after, '1, 2', PAUSE_UNREADABLE",
            "503, retry-after, 0x10, PAUSE_UNREADABLE",
            "503, retry-after, 5f, PAUSE_UNREADABLE",
            "503, retry-after, 1e9, PAUSE_UNREADABLE",
            "503, retry-after, Infinity, PAUSE_UNREADABLE",
            "503, retry-after, 'Sat, 05 Dec 2026 18:00:00 GMT', PAUSE_UNREADABLE",
            "503, retry-after, 99999999999999999999999999, PAUSE_TOO_LONG",
            "200, server-leaving, yes, LEAVING_UNKNOWN",
            "200, server-leaving, '', LEAVING_UNKNOWN",
            "200, server-leaving, '1, 1', LEAVING_UNKNOWN"
        })
        void oddValuesAreNamed(int status, String header, String text, NoticeFault fault) {
            ServerNotice notice = notice(status, Map.of(header, text));
            assertEquals(Set.of(fault), notice.faults());
            assertFalse(notice.leaving());
            assertEquals(fault == NoticeFault.PAUSE_TOO_LONG, notice.pause().isPresent());
        }

        @Test
        void anyAnswerMaySayThatItsServerLeaves() {
            assertTrue(notice(200, Map.of("server-leaving", "1")).leaving());
            assertTrue(notice(421, Map.of("server-leaving", "1")).leaving());
            assertFalse(notice(200, Map.of("server-leaving", "0")).leaving());
            assertEquals(ServerNotice.NONE, notice(200, Map.of()));
        }
    }

    @Nested
    class Loads {
        private static ServerAnswer answer(String load) {
            return ServerAnswer.decode(200, Map.of("tarragonlug-server-load", load), "i-1");
        }

        // Guards against a load that is dropped because the server also states its pace.
        @ParameterizedTest
        @CsvSource({"'3,1,8', 100", "'3,1,8,250', 250", "' 3, 1 ,8 , 55 ', 55"})
        void loadCountsWithAndWithoutPace(String text, int pace) {
            ServerAnswer answer = answer(text);
            assertEquals(Optional.of(new ReportedLoad(3, 1, 8, pace)), answer.load());
            assertEquals(ServerNotice.NONE, answer.notice());
        }

        // Guards against an odd pace that drops the numbers beside it, or is believed.
        @ParameterizedTest
        @CsvSource({
            "'3,1,8,fast', PACE_UNREADABLE, 100",
            "'3,1,8,-250', PACE_UNREADABLE, 100",
            "'3,1,8,0', PACE_UNREADABLE, 100",
            "'3,1,8,', PACE_UNREADABLE, 100",
            "'3,1,8,2.5', PACE_UNREADABLE, 100",
            "'3,1,8,99999999999', PACE_TOO_LARGE, 10000",
        })
        void oddPaceIsNotBelieved(String text, NoticeFault fault, int pace) {
            ServerAnswer answer = answer(text);
            assertEquals(Optional.of(new ReportedLoad(3, 1, 8, pace)), answer.load());
            assertEquals(Set.of(fault), answer.notice().faults());
        }

        // Guards against numbers taken from a load whose meaning is unclear.
        @ParameterizedTest
        @ValueSource(
                strings = {
                    "",
                    "3,1",
                    "3,1,8,100,7",
                    "3,x,8",
                    "3,-1,8",
                    "3,1,-8,100",
                    "3,1,99999999999"
                })
        void oddLoadCountsAsNotStated(String text) {
            ServerAnswer answer = answer(text);
            assertEquals(Optional.empty(), answer.load());
            assertEquals(Set.of(NoticeFault.LOAD_UNREADABLE), answer.notice().faults());
        }

        // Guards against a fault of the load that hides what else the server says about itself.
        @Test
        void faultOfLoadIsAddedToNotice() {
            Map<String, String> headers =
                    Map.of("tarragonlug-server-load", "1", "server-leaving", "1");
            ServerNotice notice = ServerAnswer.decode(200, headers, "i-1").notice();
            assertEquals(
                    new ServerNotice(true, Optional.empty(), Set.of(NoticeFault.LOAD_UNREADABLE)),
                    notice);
        }
    }

    @Nested
    class Requests {
        private Map<String, String> headers() {
            Map<String, String> headers = new HashMap<>();
            headers.put("host", "a.example:80");
            headers.put("tarragonlug-request-id", "r1");
            headers.put("tarragonlug-deadline-ms", "6000");
            headers.put("tarragonlug-model", "m/a3");
            headers.put("tarragonlug-token-count", "1460,80");
            headers.put("tarragonlug-prompt-prefix", "5c1e:800,91bd:410,e440:250");
            return headers;
        }

        @Test
        void decodesRequestHeaders() {
            ForwardRequest request = RequestHeaders.decode(1, "/x/", headers(), 0);
            assertEquals("a.example", request.host());
            assertEquals(Optional.of(Duration.ofSeconds(6)), request.budget());
            assertEquals(Optional.of(ModelKey.parse("m/a3")), request.model());
            assertEquals(1210, request.prefix().tokens());
            assertEquals(1460, request.promptTokens());
        }

        @Test
        void ignoresMalformedNumbers() {
            Map<String, String> headers = headers();
            headers.put("tarragonlug-deadline-ms", "soon");
            headers.put("tarragonlug-prompt-prefix", "x,,:");
            ForwardRequest request = RequestHeaders.decode(1, "/x/", headers, 0);
            assertTrue(request.budget().isEmpty());
            assertTrue(request.prefix().isEmpty());
        }

        /**
         * Guards against callers that reserve capacity or move memory in the name of the system by
         * sending headers that only the system may set.
         */
        @Test
        void removesReservedAndHopByHopHeadersFromCallers() {
            Map<String, String> headers = headers();
            headers.put("tarragonlug-hold", "h");
            headers.put("kv-from", "10.0.0.1:1/x");
            headers.put("tarragonlug-expect-instance", "i-9");
            headers.put("connection", "keep-alive, X-Private");
            headers.put("x-private", "1");
            headers.put("x-other", "2");
            Map<String, String> sent =
                    RequestHeaders.forServer(
                            headers,
                            new ForwardingCommand.Send(
                                    new ForwardAttempt(1, 1),
                                    new ServerId("i-1"),
                                    "10.0.0.9:80",
                                    Duration.ofMillis(1500),
                                    2,
                                    -1,
                                    true,
                                    java.time.Instant.EPOCH,
                                    false));
            assertEquals("i-1", sent.get("tarragonlug-expect-instance"));
            assertEquals("1500", sent.get("tarragonlug-deadline-ms"));
            assertEquals("r1", sent.get("tarragonlug-request-id"));
            assertEquals("2", sent.get("x-other"));
            for (String dropped :
                    new String[] {"tarragonlug-hold", "kv-from", "x-private", "connection"}) {
                assertFalse(sent.containsKey(dropped), dropped);
            }
        }
    }

    @Nested
    class Accounts {
        private static final String TABLE =
                """
                {"version": 3, "services": [],
                 "routes": [{"name": "r", "host": "h", "path_prefix": "/r/", "kind": "streaming",
                   "timeout_ms": 1, "service": "s", "priority": 1, "public": true}],
                 "tenants": [%s]}
                """;

        private static JsonNode spec(String accounts) throws Exception {
            return Json.read(TABLE.formatted(accounts).getBytes());
        }

        private static ForwardingTable decode(String accounts) throws Exception {
            return ConfigurationDecoder.decode(spec(accounts));
        }

        private static ClientAccount account(String entry) throws Exception {
            return decode(entry).accounts().accounts().iterator().next();
        }

        private static StoredObject withoutKeys(String accounts) throws Exception {
            return AccountKeys.withoutKeys(
                    new StoredObject(new ObjectName("config", "main"), 5, spec(accounts)));
        }

        @Test
        void decodesAccountsAndPublicRoutes() throws Exception {
            ForwardingTable table =
                    decode(
                            """
                            {"name": "a", "api_keys": ["k1", "k2"], "priority": 0, "rate_per_s": 5,
                             "burst": 8, "unit": "token_route", "plain_tokens": 300},
                            {"name": "b", "api_keys": ["k3"], "rate_per_s": 2.5},
                            {"name": "c", "api_keys": [], "rate_per_s": 0}
                            """);
            assertTrue(table.route("h", "/r/").orElseThrow().isPublic());
            ClientAccount first = table.accounts().find(AccountKeys.digest("k2")).orElseThrow();
            assertEquals("a", first.name().value());
            assertEquals(OptionalInt.of(0), first.priority());
            assertEquals(Optional.of(new Quota(QuotaUnit.TOKENS, 5, 8, 300)), first.quota());
            ClientAccount second = table.accounts().find(AccountKeys.digest("k3")).orElseThrow();
            assertEquals(OptionalInt.empty(), second.priority());
            assertEquals(QuotaUnit.REQUESTS, second.quota().orElseThrow().unit());
            assertTrue(table.accounts().account(new AccountName("c")).isPresent());
            assertTrue(table.accounts().find(AccountKeys.digest("k4")).isEmpty());
        }

        @Test
        void tableWithoutAccountsNeedsNoKeys() throws Exception {
            assertTrue(decode("").accounts().isEmpty());
            JsonNode spec = spec("");
            ((ObjectNode) spec).remove("tenants");
            assertTrue(ConfigurationDecoder.decode(spec).accounts().isEmpty());
        }

        // Guards against a part of the accounts in force, and against messages that show a key.
        @Test
        void malformedAccountsMakeTheTableUnreadable() throws Exception {
            for (String entry :
                    List.of(
                            "{\"name\": \"a\"}",
                            "{\"api_keys\": [\"secret\"]}",
                            "{\"name\": \"a\", \"api_keys\": \"secret\"}",
                            "{\"name\": \"a\", \"api_keys\": [[\"secret\"]]}",
                            "{\"name\": \"a\", \"api_keys\": [\"secret\"], \"rate_per_s\": -1}",
                            "{\"name\": \"a\\n\", \"api_keys\": [\"secret\"]}",
                            "{\"name\": \"a\", \"api_key_digests\": [\"secret\"]}",
                            "\"secret\"")) {
                JsonNode sanitised = withoutKeys(entry).content();
                for (JsonNode content : List.of(spec(entry), sanitised)) {
                    IllegalArgumentException failure =
                            assertThrows(
                                    IllegalArgumentException.class,
                                    () -> ConfigurationDecoder.decode(content),
                                    entry);
                    assertFalse(failure.getMessage().contains("secret"), failure.getMessage());
                }
            }
        }

        // Guards against keys that are passed on, and against digests that are digested again.
        @Test
        void keysAreReplacedByDigestsOnce() throws Exception {
            String entry = "{\"name\": \"a\", \"api_keys\": [\"secret\"], \"priority\": 1}";
            StoredObject replaced = withoutKeys(entry);
            assertFalse(replaced.content().toString().contains("secret"));
            assertSame(replaced, AccountKeys.withoutKeys(replaced));
            assertEquals(5, replaced.version());
            ForwardingTable table = ConfigurationDecoder.decode(replaced.content());
            assertEquals(
                    decode(entry).accounts().find(AccountKeys.digest("secret")),
                    table.accounts().find(AccountKeys.digest("secret")));
            assertTrue(table.accounts().find(AccountKeys.digest("secret")).isPresent());
        }

        // Guards against a caller that presents the digest of a key in place of the key.
        @Test
        void digestIsNoKey() throws Exception {
            String digest = AccountKeys.digest("secret").toHex();
            ForwardingTable table =
                    ConfigurationDecoder.decode(
                            withoutKeys("{\"name\": \"a\", \"api_keys\": [\"secret\"]}").content());
            assertTrue(table.accounts().find(AccountKeys.digest(digest)).isEmpty());
            assertTrue(
                    account("{\"name\": \"a\", \"api_keys\": [\"" + digest + "\"]}")
                            .digests()
                            .contains(AccountKeys.digest(digest)));
        }
    }

    @Nested
    class Credentials {
        private static Credential credential(String value) {
            return RequestHeaders.decodeHead(
                            1, "/x/", Map.of("authorization", value, "host", "h:1"), Set.of())
                    .credential();
        }

        @ParameterizedTest
        @ValueSource(strings = {"Token key-1", "token key-1", "TOKEN  key-1 "})
        void decodesAKey(String value) {
            assertEquals(Credential.of(AccountKeys.digest("key-1")), credential(value));
        }

        @Test
        void decodesAKeyOfAnyText() {
            String key = "clé-ключ";
            String bytes = new String(key.getBytes(UTF_8), ISO_8859_1);
            assertEquals(Credential.of(AccountKeys.digest(key)), credential("Token " + bytes));
        }

        // Guards against a request that runs although its key is not the one that was checked, and
        // against input that ends in an exception.
        @ParameterizedTest
        @ValueSource(
                strings = {
                    "",
                    " ",
                    "Token",
                    "Token ",
                    "key-1",
                    "Bearer key-1",
                    "Basic a2V5LTE=",
                    "Token key-1, Token key-2",
                    "Token key-1 key-2",
                    "Token\tkey-1",
                    "Token key\u00ff",
                    "Token key\u0000",
                    "Token \u00c3\u0028",
                    "Token key\u4e00",
                    "Token key\u00c2\u00a0"
                })
        void oddValuesAreNoKey(String value) {
            assertEquals(Credential.MALFORMED, credential(value));
        }

        @Test
        void overlongKeyIsNoKey() {
            assertEquals(Credential.State.KEY, credential("Token " + "k".repeat(4096)).state());
            assertEquals(Credential.MALFORMED, credential("Token " + "k".repeat(4097)));
        }

        @Test
        void twoCredentialsAreNoKey() {
            Map<String, String> headers = Map.of("authorization", "Token key-1");
            assertEquals(
                    Credential.MALFORMED,
                    RequestHeaders.decodeHead(1, "/x/", headers, Set.of("authorization"))
                            .credential());
            assertEquals(
                    Credential.MALFORMED,
                    RequestHeaders.decode(1, "/x/", headers, Set.of("authorization"), 0)
                            .credential());
            assertEquals(
                    Credential.ABSENT,
                    RequestHeaders.decode(1, "/x/", Map.of(), Set.of(), 0).credential());
        }

        private static Map<String, String> sent(Optional<AccountName> account, boolean removed) {
            return sent(account, removed, Optional.empty());
        }

        private static Map<String, String> sent(
                Optional<AccountName> account,
                boolean removed,
                Optional<ReservationId> reservation) {
            return RequestHeaders.forServer(
                    Map.of(
                            "authorization",
                            "Token key-1",
                            "tarragonlug-tenant",
                            "forged",
                            "connection",
                            "tarragonlug-tenant"),
                    new ForwardingCommand.Send(
                            new ForwardAttempt(1, 1),
                            new ServerId("i-1"),
                            "10.0.0.9:80",
                            Duration.ofMillis(1500),
                            2,
                            -1,
                            true,
                            java.time.Instant.EPOCH,
                            false,
                            account,
                            removed,
                            reservation));
        }

        // Guards against a request that waits among the others although a slot is reserved for it.
        @Test
        void serverGetsTheReservation() {
            Optional<ReservationId> slot = Optional.of(new ReservationId("slot-1"));
            assertEquals("slot-1", sent(Optional.empty(), false, slot).get("tarragonlug-hold"));
        }

        // Guards against a key at a server, and against a caller that names an account itself.
        @Test
        void serverGetsTheAccountAndNoKey() {
            Map<String, String> named = sent(Optional.of(new AccountName("a")), true);
            assertEquals("a", named.get("tarragonlug-tenant"));
            assertFalse(named.containsKey("authorization"));
            Map<String, String> open = sent(Optional.empty(), true);
            assertFalse(open.containsKey("tarragonlug-tenant"));
            assertFalse(open.containsKey("authorization"));
            Map<String, String> withoutAccounts = sent(Optional.empty(), false);
            assertFalse(withoutAccounts.containsKey("tarragonlug-tenant"));
            assertEquals("Token key-1", withoutAccounts.get("authorization"));
        }
    }
}
