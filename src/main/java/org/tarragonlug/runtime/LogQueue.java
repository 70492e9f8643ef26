package org.tarragonlug.runtime;

import ch.qos.logback.classic.AsyncAppender;
import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.spi.LoggingEvent;
import ch.qos.logback.core.Appender;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Lines that wait to be written. A full queue drops further lines rather than block.
 *
 * <p>The last places are kept for warnings and for lines that are to be retained, because a log
 * that misses ordinary lines still tells why something went wrong. Once half of the queue is free
 * again, a line tells how many lines are missing before it.
 */
final class LogQueue extends AsyncAppender {
    private final int recoveredPlaces;
    private final AtomicLong dropped = new AtomicLong();

    /**
     * Creates a queue that is not started.
     *
     * @param context the context of the lines
     * @param places number of lines that wait at most
     * @param reservedPlaces how many of them are kept for warnings and retained lines
     * @param target what writes the lines
     */
    LogQueue(
            LoggerContext context, int places, int reservedPlaces, Appender<ILoggingEvent> target) {
        this.recoveredPlaces = places / 2;
        setContext(context);
        setQueueSize(places);
        setDiscardingThreshold(reservedPlaces);
        setNeverBlock(true);
        addAppender(target);
    }

    @Override
    protected boolean isDiscardable(ILoggingEvent event) {
        return event.getLevel().toInt() <= Level.INFO_INT
                && !event.getLoggerName().equals(EventLog.RETAINED_LOGGER);
    }

    @Override
    protected void append(ILoggingEvent event) {
        int free = getRemainingCapacity();
        boolean reserved = free < getDiscardingThreshold();
        if (free == 0 || reserved && isDiscardable(event)) {
            dropped.incrementAndGet();
            return;
        }
        long missing = free >= recoveredPlaces ? dropped.getAndSet(0) : 0;
        if (missing > 0) {
            super.append(lineAboutDropped(missing, event));
        }
        super.append(event);
    }

    private ILoggingEvent lineAboutDropped(long missing, ILoggingEvent next) {
        LoggerContext context = (LoggerContext) getContext();
        Logger logger = context.getLogger(next.getLoggerName());
        LogEvent about = LogEvent.LOG_LINES_DROPPED;
        String text = "event=" + about.eventName() + " count=" + missing;
        return new LoggingEvent(getClass().getName(), logger, Level.WARN, text, null, null);
    }
}
