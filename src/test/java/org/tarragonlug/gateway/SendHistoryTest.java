package org.tarragonlug.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.tarragonlug.decision.forwarding.ForwardAttempt;
import org.tarragonlug.decision.forwarding.ForwardingCommand;
import org.tarragonlug.decision.forwarding.Rejection;
import org.tarragonlug.http.CallPosition;
import org.tarragonlug.id.ServerId;

class SendHistoryTest {
    private static final Instant START = Instant.parse("2026-12-06T04:05:33Z");
    private static final int PORT = 46248;

    private final SendHistory history = new SendHistory();

    private ServerSend begin(String server) {
        ServerSend send =
                new ServerSend(
                        new ForwardingCommand.Send(
                                new ForwardAttempt(1, history.count() + 1),
                                new ServerId(server),
                                "10.0.0.1:80",
                                Duration.ofSeconds(1),
                                0,
                                -1,
                                false,
                                START.plusSeconds(1),
                                false),
                        START);
        history.add(send);
        return send;
    }

    private ServerSend write(String server, int earlierCalls) {
        ServerSend send = begin(server);
        send.onConnectionReserved(new CallPosition(PORT, earlierCalls, false));
        return send;
    }

    private static Instant after(long millis) {
        return START.plusMillis(millis);
    }

    // Guards against a log line that names a server whose answer was not passed on.
    @Test
    void serverOfTheAnswerThatIsPassedOnIsNamed() {
        write("fails", 0).onAnswered(after(1));
        write("answers", 0).onAnswered(after(2));
        assertEquals("answers", history.lastServer());
    }

    /** What a refusal rests on. */
    @Nested
    class Grounds {
        @Test
        void requestWithoutSendsWasNeverSent() {
            assertEquals(NotRunGround.NEVER_SENT, history.groundOfRefusal());
        }

        @Test
        void unreachedServersGotNothing() {
            begin("a").onRejected(Rejection.UNREACHABLE, after(1));
            begin("b").onRejected(Rejection.WITHDRAWN, after(2));
            assertEquals(NotRunGround.NEVER_WRITTEN, history.groundOfRefusal());
            assertEquals(2, history.unwritten());
        }

        @Test
        void eachWrittenSendWasRejected() {
            begin("a").onRejected(Rejection.UNREACHABLE, after(1));
            write("b", 0).onRejected(Rejection.WRONG_SERVER, after(2));
            write("c", 0).onRejected(Rejection.BUSY, after(3));
            assertEquals(NotRunGround.REJECTED, history.groundOfRefusal());
            assertEquals(2, history.rejected());
        }

        // Guards against a refusal after a send whose outcome is open, which no line would show.
        @Test
        void openOrBrokenSendProvesNothing() {
            write("a", 0).onRejected(Rejection.BUSY, after(1));
            ServerSend open = write("b", 0);
            assertEquals(NotRunGround.UNPROVEN, history.groundOfRefusal());
            open.onBroken(after(2));
            write("c", 0).onRejected(Rejection.BUSY, after(3));
            assertEquals(NotRunGround.UNPROVEN, history.groundOfRefusal());
        }

        // Guards against a refusal that rests on sends which the line no longer describes.
        @Test
        void sendsThatAreNotDescribedAreCounted() {
            write("open", 0).onCancelled(after(1));
            for (int number = 0; number < 8; number++) {
                write("full", 0).onRejected(Rejection.BUSY, after(1));
            }
            assertEquals(NotRunGround.UNPROVEN, history.groundOfRefusal());
            assertEquals(9, history.count());
            assertEquals(5, history.toString().split(",").length);
        }
    }

    // Guards against the copy of a refusal that can not be read from the line, or that counts as
    // proof: the second send went on the connection of the first one, to another id at its address.
    @Test
    void twoSendsOnOneConnectionShowAndProveNothing() {
        write("i-old", 6).onRejected(Rejection.WRONG_SERVER, after(1));
        write("i-new", 7).onRejected(Rejection.MODEL_ABSENT, after(31));
        assertEquals(
                "i-old@10.0.0.1:80/46248+6/WRONG_SERVER/1ms,"
                        + "i-new@10.0.0.1:80/46248+7/MODEL_ABSENT/31ms",
                history.toString());
        assertEquals(NotRunGround.UNPROVEN, history.groundOfRefusal());
    }

    // Guards against an outcome that a later event of the same send replaces.
    @Test
    void firstOutcomeOfSendCounts() {
        ServerSend send = write("a", 0);
        send.onCancelled(after(5));
        send.onBroken(after(9));
        assertEquals("a@10.0.0.1:80/46248+0/CANCELLED/5ms", send.toString());
        send.onRejected(Rejection.BUSY, after(10));
        assertEquals("a@10.0.0.1:80/46248+0/CANCELLED/5ms", send.toString());
        assertEquals(NotRunGround.UNPROVEN, history.groundOfRefusal());
    }
}
