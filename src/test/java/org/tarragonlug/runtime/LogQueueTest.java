package org.tarragonlug.runtime;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.spi.LoggingEvent;
import ch.qos.logback.core.AppenderBase;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** A log whose lines come faster than they are written. */
class LogQueueTest {
    private static final int PLACES = 20;
    private static final int RESERVED = 5;

    private final LoggerContext context = new LoggerContext();
    private final CountDownLatch reading = new CountDownLatch(1);
    private final List<String> written = new CopyOnWriteArrayList<>();
    private final AppenderBase<ILoggingEvent> target =
            new AppenderBase<>() {
                @Override
                protected void append(ILoggingEvent event) {
                    try {
                        reading.await();
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                    written.add(event.getFormattedMessage());
                }
            };
    private final LogQueue queue = new LogQueue(context, PLACES, RESERVED, target);

    @BeforeEach
    void start() {
        target.setContext(context);
        target.start();
        queue.start();
    }

    @AfterEach
    void stop() {
        reading.countDown();
        queue.stop();
    }

    private void log(String logger, Level level, String text) {
        queue.doAppend(new LoggingEvent("", context.getLogger(logger), level, text, null, null));
    }

    private void logOrdinary(int lines) {
        for (int line = 0; line < lines; line++) {
            log("tarragonlug", Level.INFO, "ordinary");
        }
    }

    private void awaitWritten(int lines) throws Exception {
        while (written.size() < lines) {
            Thread.sleep(1);
        }
    }

    // Guards against a full log that loses the lines which tell why something went wrong.
    @Test
    void warningsAndRetainedLinesAreDroppedLast() throws Exception {
        logOrdinary(10 * PLACES);
        log("tarragonlug", Level.WARN, "warning");
        log(EventLog.RETAINED_LOGGER, Level.INFO, "retained");
        reading.countDown();
        while (!written.contains("retained")) {
            Thread.sleep(1);
        }
        assertTrue(written.contains("warning"), written.toString());
    }

    // Guards against a gap in the log that nobody notices, and against lines that grow without end.
    @Test
    void missingLinesAreCountedOnceThereIsRoom() throws Exception {
        logOrdinary(10 * PLACES);
        int kept = PLACES - queue.getRemainingCapacity();
        assertTrue(kept <= PLACES - RESERVED + 1, "kept " + kept);
        reading.countDown();
        awaitWritten(kept);
        logOrdinary(1);
        awaitWritten(kept + 2);
        String gap = written.get(written.size() - 2);
        assertTrue(gap.startsWith("event=log_lines_dropped count="), gap);
        int dropped = Integer.parseInt(gap.substring(gap.lastIndexOf('=') + 1));
        assertEquals(10 * PLACES + 1, dropped + written.size() - 1);
    }
}
