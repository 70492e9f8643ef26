package org.tarragonlug.runtime;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.LoggingEvent;
import java.time.Instant;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class EventLayoutTest {
    private final EventLayout layout = new EventLayout();

    private static LoggingEvent event(String message, Throwable failure) {
        Logger logger = new LoggerContext().getLogger("tarragonlug");
        LoggingEvent event = new LoggingEvent("", logger, Level.WARN, message, failure, null);
        event.setInstant(Instant.parse("2026-12-04T10:00:00Z"));
        return event;
    }

    @Nested
    class Lines {
        /** Guards against times of varying length, which would break the alignment of logs. */
        @Test
        void lineHasMillisecondsAlsoAtFullSeconds() {
            assertEquals(
                    "time=2026-12-04T10:00:00.000Z level=WARN event=x\n",
                    layout.doLayout(event("event=x", null)));
        }

        /** Guards against a failure of the program whose stack trace is lost. */
        @Test
        void stackTraceFollowsTheLine() {
            String text = layout.doLayout(event("event=x", new IllegalStateException("why")));
            assertTrue(text.contains("\njava.lang.IllegalStateException: why\n\tat "), text);
        }
    }
}
