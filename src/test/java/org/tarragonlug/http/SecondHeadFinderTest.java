package org.tarragonlug.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class SecondHeadFinderTest {
    private static final String LONG_TEXT =
            "and so on, and so on, and so on, and so on, and so on, and so on, and so on";

    private static final String HEAD =
            "HTTP/1.1 200 OK\r\nseal: s\r\nRequest-Id: r1\r\ncontent-length: 9\r\n\r\n";

    private final SecondHeadFinder finder =
            new SecondHeadFinder(new AnswerName("request-id", "r1"));

    private boolean add(String part) {
        return finder.add(part.getBytes(StandardCharsets.ISO_8859_1));
    }

    private boolean addBytes(String text) {
        boolean found = false;
        for (int index = 0; index < text.length(); index++) {
            found = add(text.substring(index, index + 1));
        }
        return found;
    }

    @Nested
    class WithinTheBody {
        // Guards against a second answer that is missed because of what stands before its head, or
        // of how its header is written.
        @ParameterizedTest
        @ValueSource(
                strings = {
                    HEAD,
                    "part" + HEAD,
                    "HTTP/1.1 20" + HEAD,
                    "HHTHTTHTTP/1." + HEAD,
                    "HTTP/1.1 200 OK\r\nx: y\r\n\r\n" + HEAD,
                    "HTTP/1.1 200 OK\r\nx: y" + HEAD,
                    "HTTP/1.1 200 OK\r\n\r" + HEAD,
                    "HTTP/1.1 200 OK\r\nrequest-" + HEAD,
                    "HTTP/1.0 503 X\r\nREQUEST-ID:r1 \r\n",
                    "HTTP/1.1 503\nrequest-id: \t r1\n"
                })
        void headThatNamesTheCallIsFound(String body) {
            assertTrue(add(body));
            assertTrue(new SecondHeadFinderTest().addBytes(body));
        }

        // Guards against content that is lost with the head, or a part of the head that is kept.
        @Test
        void bytesBeforeTheHeadAreCounted() {
            assertTrue(add("part HTTP/1" + HEAD + "H"));
            assertEquals("part HTTP/1".length(), finder.bytesBeforeHead());
        }

        @Test
        void headThatBeginsInAnEarlierPartLeavesNoBytesBeforeIt() {
            add("part HTTP/1.1 200");
            assertTrue(add(" OK\r\nrequest-id: r1\r\n"));
            assertEquals(0, finder.bytesBeforeHead());
        }

        // Guards against answers that count as broken because they quote HTTP.
        @ParameterizedTest
        @ValueSource(
                strings = {
                    "request-id: r1\r\n",
                    "GET / HTTP/1.1\r\nrequest-id: r1\r\n\r\n",
                    "HTTP/1.1 200 OK\r\n\r\nrequest-id: r1\r\n\r\n",
                    "HTTP/1.1 200 OK\r\nrequest-id: r10\r\n\r\n",
                    "HTTP/1.1 200 OK\r\nrequest-id: r1 r2\r\n\r\n",
                    "HTTP/1.1 200 OK\r\nxrequest-id: r1\r\n\r\n",
                    "HTTP/1.1 200 OK\r\nrequest-id: r\r\n1\r\n\r\n",
                    "HTTP/2.1 200 OK\r\nrequest-id: r1\r\n",
                    "HTTP/1.1 200 OK\r\nno header\r\nrequest-id: r1\r\n\r\n",
                    "{\"log\": \"HTTP/1.1 200 OK\", \"next\": \"" + LONG_TEXT + "\"}"
                })
        void otherBytesAreNotFound(String body) {
            assertFalse(add(body));
            assertFalse(finder.isOpen());
        }
    }

    @Nested
    class AtItsEnd {
        // Guards against a second answer of which only a part of the head fits into the body.
        @Test
        void headIsFoundWhereverTheBodyEndsWithinIt() {
            int named = HEAD.indexOf("r1\r\n") + 3;
            for (int end = 1; end <= named; end++) {
                SecondHeadFinderTest each = new SecondHeadFinderTest();
                assertFalse(each.add("part" + HEAD.substring(0, end)), "end: " + end);
                assertTrue(each.finder.isOpen(), "end: " + end);
                each.finder.endBody();
                assertTrue(each.add(HEAD.substring(end)), "end: " + end);
            }
        }

        // Guards against a whole body that counts as broken because of bytes after it.
        @ParameterizedTest
        @ValueSource(strings = {HEAD, "x" + HEAD, "TTP/2", "TTP/1.1 200 OK\r\n\r\n" + HEAD})
        void otherBytesAfterTheEndShowThatTheBodyIsWhole(String additional) {
            assertFalse(add("whole, H"));
            finder.endBody();
            assertFalse(add(additional));
            assertFalse(finder.isOpen());
        }

        // Guards against answers that are held back although nothing in them is ambiguous.
        @Test
        void bodyThatEndsOtherwiseIsNotHeldBack() {
            add("part H, part HTTP/1.1, {\"a\": 1}");
            assertEquals(false, finder.isOpen());
        }
    }
}
