package org.tarragonlug.gateway;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.AppenderBase;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.slf4j.LoggerFactory;

/** Collects the log lines of the gateways in this process until it is closed. */
final class LogLines implements AutoCloseable {
    private final List<String> lines = new CopyOnWriteArrayList<>();
    private final AppenderBase<ILoggingEvent> appender =
            new AppenderBase<>() {
                @Override
                protected void append(ILoggingEvent event) {
                    lines.add(event.getFormattedMessage());
                }
            };

    LogLines() {
        appender.start();
        logger().addAppender(appender);
        logger().setLevel(Level.INFO);
    }

    private static Logger logger() {
        return (Logger) LoggerFactory.getLogger("tarragonlug");
    }

    /** Returns the lines of an event that contain a text, in their order. */
    List<String> of(String event, String text) {
        return lines.stream()
                .filter(line -> line.startsWith("event=" + event + " "))
                .filter(line -> line.contains(text))
                .toList();
    }

    /** Returns all lines in their order, as a log has them. */
    String text() {
        return String.join("\n", lines);
    }

    /** Waits for a line of an event that contains a text, and returns the first one. */
    String await(String event, String text) throws Exception {
        GatewayFixture.await(event + " " + text, () -> !of(event, text).isEmpty());
        return of(event, text).get(0);
    }

    /** Returns the value of a key in a line; empty if the line has none. */
    static String value(String line, String key) {
        for (String pair : line.split(" ")) {
            if (pair.startsWith(key + "=")) {
                return pair.substring(key.length() + 1);
            }
        }
        return "";
    }

    @Override
    public void close() {
        logger().setLevel(null);
        logger().detachAppender(appender);
    }
}
