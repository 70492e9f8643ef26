package org.tarragonlug.runtime;

import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.spi.ThrowableProxyUtil;
import ch.qos.logback.core.LayoutBase;
import java.time.Instant;
import java.time.format.DateTimeFormatter;
import java.time.format.DateTimeFormatterBuilder;

/** Writes the time and the level before the key=value pairs of an event. */
final class EventLayout extends LayoutBase<ILoggingEvent> {
    private static final int MILLISECOND_DIGITS = 3;

    private final DateTimeFormatter time =
            new DateTimeFormatterBuilder().appendInstant(MILLISECOND_DIGITS).toFormatter();

    @Override
    public String doLayout(ILoggingEvent event) {
        StringBuilder line = new StringBuilder("time=");
        time.formatTo(Instant.ofEpochMilli(event.getTimeStamp()), line);
        line.append(" level=").append(event.getLevel());
        line.append(' ').append(event.getFormattedMessage()).append('\n');
        if (event.getThrowableProxy() != null) {
            line.append(ThrowableProxyUtil.asString(event.getThrowableProxy()));
        }
        return line.toString();
    }
}
