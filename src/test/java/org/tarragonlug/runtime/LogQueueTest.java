package org.tarragonlug.runtime;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.spi.LoggingEvent;
import ch.qos.logback.classic.util.LogbackMDCAdapter;
import ch.qos.logback.core.AppenderBase;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** A log whose lines come faster than they are written. */
class LogQueueTest {
    private static final int PLACES = 20;
    private static final int RESERVED = 5;
    private static final Duration LIMIT = Duration.ofSeconds(10);

    private final LoggerContext context = new LoggerContext();
    private final CountDownLatch begun = new CountDownLatch(1);
    private final CountDownLatch reading = new CountDownLatch(1);
    private final List<String> written = new CopyOnWriteArrayList<>();
    private final AppenderBase<ILoggingEvent> target =
            new AppenderBase<>() {
                @Override
                protected void append(ILoggingEvent event) {
                    begun.countDown();
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
        context.setMDCAdapter(new LogbackMDCAdapter());
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

    private void await(BooleanSupplier condition) throws Exception {
        long end = System.nanoTime() + LIMIT.toNanos();
        while (!condition.getAsBoolean()) {
            assertTrue(
                    System.nanoTime() < end,
                    () -> written + " " + context.getStatusManager().getCopyOfStatusList());
            Thread.sleep(1);
        }
    }

    /** Fills the places of ordinary lines; one more line is being written and does not end. */
    private void fill() throws Exception {
        logOrdinary(1);
        await(() -> begun.getCount() == 0);
        logOrdinary(10 * PLACES);
        assertEquals(RESERVED - 1, queue.getRemainingCapacity());
    }

    // Guards against a full log that loses the lines which tell why something went wrong.
    @Test
    void warningsAndRetainedLinesAreDroppedLast() throws Exception {
        fill();
        log("tarragonlug", Level.WARN, "warning");
        log(EventLog.RETAINED_LOGGER, Level.INFO, "retained");
        reading.countDown();
        await(() -> written.contains("retained"));
        assertTrue(written.contains("warning"), written.toString());
    }

    // Guards against a gap in the log that nobody notices.
    @Test
    void missingLinesAreCountedOnceThereIsRoom() throws Exception {
        fill();
        int kept = 1 + PLACES - queue.getRemainingCapacity();
        reading.countDown();
        await(() -> written.size() == kept);
        logOrdinary(1);
        await(() -> written.size() == kept + 2);
        int dropped = 1 + 10 * PLACES - kept;
        assertEquals("event=log_lines_dropped count=" + dropped, written.get(kept));
    }
}
