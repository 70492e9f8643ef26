package org.tarragonlug.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class AnswerFilterTest {
    private static final int MEBIBYTE = 1024 * 1024;

    private final List<SkippedAnswer> skipped = new ArrayList<>();
    private final AnswerFilter filter = new AnswerFilter();

    @BeforeEach
    void begin() {
        filter.begin(Optional.of(new AnswerName("x-call", "own")), skipped::add);
    }

    private static ByteBuf bytes(String text) {
        return Unpooled.copiedBuffer(text.replace("|", "\r\n"), StandardCharsets.ISO_8859_1);
    }

    @Nested
    class Heads {
        // Guards against a late answer that is handed on because its head came in two reads, and
        // against an own answer that is lost.
        @ParameterizedTest
        @CsvSource({
            "HTTP/1.1 200 OK|X-Call: own ||, HAND_ON",
            "HTTP/1.1 200 OK|x-call: own|X-Call: own||, HAND_ON",
            "HTTP/1.1 200 OK|x-call: other||, SKIP",
            "HTTP/1.1 503 Busy|a: b|X-CALL:other||, SKIP",
            "HTTP/1.1 200 OK|x-call: own|x-call: other||, INVALID",
            "HTTP/1.1 200 OK|a: b||, HAND_ON",
            "HTTP/1.1 100 Continue|x-call: other||, HAND_ON",
            "HTTP/1.1 600 Status|x-call: other||, HAND_ON",
            "HTTP/1.1 +200 OK|x-call: other||, HAND_ON"
        })
        void completeHeadIsJudgedByItsName(String head, AnswerFilter.Verdict verdict) {
            String text = head.replace("|", "\r\n");
            for (int cut = 1; cut < text.length(); cut++) {
                filter.take();
                ByteBuf first = bytes(text.substring(0, cut));
                assertEquals(AnswerFilter.Verdict.KEEP, filter.addHead(first, false));
                assertEquals(verdict, filter.addHead(bytes(text.substring(cut)), true));
                assertEquals(text, filter.take().toString(StandardCharsets.ISO_8859_1));
            }
        }

        @Test
        void bytesThatBeginNoHeadAreHandedOnAtOnce() {
            assertEquals(AnswerFilter.Verdict.HAND_ON, filter.addHead(bytes("foreign"), false));
        }

        @Test
        void callWithoutNameGetsEverythingAtOnce() {
            filter.begin(Optional.empty(), skipped::add);
            assertEquals(AnswerFilter.Verdict.HAND_ON, filter.addHead(bytes("HTTP/1.1"), false));
        }
    }

    @Nested
    class Skipping {
        private static final String OTHER = "HTTP/1.1 404 X|x-call: other|content-length: 5||";

        private void skipHead() {
            filter.addHead(bytes(OTHER), true);
            assertEquals("5", filter.startSkipping().value("content-length"));
        }

        @Test
        void skippedAnswerIsReported() {
            skipHead();
            filter.skipBody(bytes("12345"));
            filter.endSkipping();
            int length = bytes(OTHER).readableBytes() + 5;
            assertEquals(List.of(new SkippedAnswer("other", 404, length)), skipped);
        }

        // Guards against an own answer that disappears in the body of one that broke off.
        @Test
        void answerWithinTheBodyIsRecognisedAcrossReads() {
            skipHead();
            filter.skipBody(bytes("1HTT"));
            assertFalse(filter.hasAnswerWithin());
            filter.skipBody(bytes("P/1.1 200"));
            assertTrue(filter.hasAnswerWithin());
        }

        // Guards against a server that sends answers to other calls without end.
        @Test
        void skippedAnswersAndBytesAreLimited() {
            for (int answer = 0; answer < 16; answer++) {
                skipHead();
                filter.endSkipping();
            }
            assertFalse(filter.exceedsLimits());
            skipHead();
            filter.endSkipping();
            assertTrue(filter.exceedsLimits());
            begin();
            skipHead();
            filter.skipBody(Unpooled.wrappedBuffer(new byte[8 * MEBIBYTE]));
            assertTrue(filter.exceedsLimits());
        }
    }
}
