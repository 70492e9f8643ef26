package org.tarragonlug.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.tarragonlug.decision.placement.OrderAction;
import org.tarragonlug.decision.placement.OrderResult;
import org.tarragonlug.http.LoopbackFixture;
import org.tarragonlug.http.RawServer;
import org.tarragonlug.id.FencingToken;
import org.tarragonlug.id.InstanceId;
import org.tarragonlug.id.ModelKey;
import org.tarragonlug.id.ServerId;

class PlatformEngineClientTest {
    private final LoopbackFixture loopback = new LoopbackFixture();
    private final PlatformEngineClient client = new PlatformEngineClient(loopback.connections);
    private BooleanSupplier maySend = () -> true;

    @AfterEach
    void close() throws Exception {
        loopback.close();
    }

    private OrderResult order(String statusLine, String headers) throws Exception {
        byte[] answer =
                ("HTTP/1.1 " + statusLine + "\r\n" + headers + "content-length: 0\r\n\r\n")
                        .getBytes(StandardCharsets.US_ASCII);
        try (RawServer server = new RawServer(number -> answer, true)) {
            return LoopbackFixture.await(
                    client.sendOrder(
                            new ServerId("e1"),
                            server.address(),
                            OrderAction.LOAD,
                            new ModelKey("m", ""),
                            3,
                            new InstanceId("holder"),
                            new FencingToken(7),
                            maySend));
        }
    }

    // Guards against an order that is written after its holder's lease has ended, because it was
    // given before and waited for its connection.
    @Test
    void orderOfAHolderWhoMayNotGiveItAnyMoreIsNotWritten() throws Exception {
        maySend = () -> false;
        assertEquals(OrderResult.NOT_SENT, order("202 Accepted", ""));
    }

    @ParameterizedTest
    @CsvSource({"202 Accepted,ACCEPTED", "200 OK,ALREADY_DONE", "409 Conflict,CONFLICT"})
    void statusTellsTheResultOfAnOrder(String statusLine, OrderResult expected) throws Exception {
        assertEquals(expected, order(statusLine, ""));
    }

    // Guards against orders that count as carried out or refused, because a server wrote its answer
    // to a caller's request once more on the connection of the order.
    @ParameterizedTest
    @ValueSource(strings = {"200 OK", "202 Accepted", "421 Misdirected Request", "409 Conflict"})
    void answerToRequestIsNoAnswerToOrder(String statusLine) throws Exception {
        String headers = "tarragonlug-request-id: r1\r\ntarragonlug-not-executed: 1\r\n";
        assertEquals(OrderResult.UNKNOWN, order(statusLine, headers));
    }

    // Guards against a server that counts as alive because another one answers at its address.
    @Test
    void answerOfAnotherServerDoesNotShowThatAServerLives() throws Exception {
        byte[] other =
                "HTTP/1.1 421 Misdirected\r\ncontent-length: 0\r\n\r\n"
                        .getBytes(StandardCharsets.US_ASCII);
        try (RawServer server = new RawServer(number -> other, true);
                RawServer alive = new RawServer(number -> RawServer.ok("{}"), true)) {
            ServerId id = new ServerId("e1");
            assertEquals(false, LoopbackFixture.await(client.isAlive(id, server.address())));
            assertEquals(true, LoopbackFixture.await(client.isAlive(id, alive.address())));
            assertEquals(
                    false, LoopbackFixture.await(client.isAlive(id, RawServer.unusedAddress())));
        }
    }
}
