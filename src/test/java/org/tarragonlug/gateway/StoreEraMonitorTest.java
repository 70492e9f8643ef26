package org.tarragonlug.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.AppenderBase;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.slf4j.LoggerFactory;
import org.tarragonlug.id.StoreEra;
import org.tarragonlug.runtime.EventLog;
import org.tarragonlug.runtime.ManualTimers;

/** What an operator is told of the eras of the store. */
class StoreEraMonitorTest {
    private static final Duration STEP = Duration.ofMillis(10);

    private final ManualTimers timers = new ManualTimers();
    private final StoreEraMonitor monitor =
            new StoreEraMonitor(timers, new EventLog("StoreEraMonitorTest"));
    private final List<String> lines = new ArrayList<>();
    private final AppenderBase<ILoggingEvent> appender =
            new AppenderBase<>() {
                @Override
                protected void append(ILoggingEvent event) {
                    if (event.getFormattedMessage().contains("StoreEraMonitorTest")) {
                        lines.add(event.getFormattedMessage());
                    }
                }
            };

    private static Logger logger() {
        return (Logger) LoggerFactory.getLogger("tarragonlug");
    }

    @BeforeEach
    void record() {
        appender.start();
        logger().addAppender(appender);
        logger().setLevel(Level.INFO);
    }

    @AfterEach
    void stop() {
        logger().setLevel(null);
        logger().detachAppender(appender);
    }

    private void answer(long era) {
        timers.advance(STEP);
        monitor.accepts(new StoreEra(era), timers.now());
    }

    private List<String> linesOf(String event) {
        return lines.stream().filter(line -> line.contains("event=" + event + " ")).toList();
    }

    @Nested
    class Changes {
        /** Guards against a return of the store that leaves no line. */
        @Test
        void eachReturnIsLoggedOnce() {
            answer(4);
            answer(5);
            answer(5);
            answer(9);
            assertEquals(1, linesOf("store_era_learnt").size());
            List<String> returns = linesOf("store_restored");
            assertEquals(2, returns.size());
            assertTrue(returns.get(0).contains("era_before=4 era=5 expected=true"));
            assertTrue(returns.get(1).contains("era_before=5 era=9 expected=false"));
        }

        /** Guards against an era that falls without a line. */
        @Test
        void fallIsLogged() {
            answer(5);
            for (int count = 0; count < 300; count++) {
                answer(4);
            }
            assertTrue(linesOf("store_restored").get(0).contains("era=4 expected=false"));
        }
    }

    @Nested
    class WrongHeaders {
        /** Guards against a log that is filled by a store whose answers differ. */
        @Test
        void alternatingErasAreLoggedSeldom() {
            answer(5);
            for (int count = 0; count < 900; count++) {
                answer(4);
                answer(5);
            }
            List<String> outdated = linesOf("store_answer_outdated");
            assertEquals(2, outdated.size());
            assertTrue(outdated.get(1).contains("stated=4 era=5 suppressed="));
            assertEquals(List.of(), linesOf("store_restored"));
        }

        /** Guards against an era that is no number and leaves no line, or one for each answer. */
        @Test
        void unreadableEraIsLoggedSeldom() {
            answer(5);
            for (int count = 0; count < 900; count++) {
                timers.advance(STEP.multipliedBy(2));
                monitor.onUnreadable("five hundred");
                answer(0);
            }
            List<String> unreadable = linesOf("store_era_unreadable");
            assertEquals(3, unreadable.size());
            assertTrue(unreadable.get(0).contains("stated=\"five hundred\" era=5 suppressed=0"));
            assertEquals(new StoreEra(5), monitor.current());
        }
    }
}
