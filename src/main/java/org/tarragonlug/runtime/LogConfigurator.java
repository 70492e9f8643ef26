package org.tarragonlug.runtime;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.Configurator;
import ch.qos.logback.classic.spi.ConfiguratorRank;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.Appender;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.encoder.LayoutWrappingEncoder;
import ch.qos.logback.core.spi.ContextAwareBase;

/**
 * Sets up logging without a configuration file, because reading one takes a fifth of the processor
 * time of a start.
 *
 * <p>A gateway logs to standard output through a queue that drops lines rather than blocks, so that
 * a log that nobody reads does not stop requests. Other commands log to standard error. The
 * environment variable {@code TARRAGONLUG_LOG_LEVEL} sets the level, {@code INFO} by default.
 */
@ConfiguratorRank(ConfiguratorRank.CUSTOM_HIGH_PRIORITY)
public final class LogConfigurator extends ContextAwareBase implements Configurator {
    /** Tests have a configuration file, which takes precedence. */
    private static final String TEST_CONFIGURATION = "/logback-test.xml";

    private static final String LEVEL_VARIABLE = "TARRAGONLUG_LOG_LEVEL";

    /** Number of lines that wait to be written; further lines are dropped. */
    private static final int QUEUED_LINES = 2048;

    /** Those of them that are kept for warnings and for lines that are to be retained. */
    private static final int RESERVED_LINES = 512;

    private static boolean toStandardOutput;

    /** Selects standard output. Must be called before anything is logged. */
    public static void logToStandardOutput() {
        toStandardOutput = true;
    }

    @Override
    public ExecutionStatus configure(LoggerContext context) {
        if (getClass().getResource(TEST_CONFIGURATION) != null) {
            return ExecutionStatus.INVOKE_NEXT_IF_ANY;
        }
        context.getLogger("io.servicetalk").setLevel(Level.ERROR);
        context.getLogger("io.netty").setLevel(toStandardOutput ? Level.ERROR : Level.WARN);
        ch.qos.logback.classic.Logger root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
        root.setLevel(Level.toLevel(System.getenv(LEVEL_VARIABLE), Level.INFO));
        ConsoleAppender<ILoggingEvent> console = console(context);
        root.addAppender(toStandardOutput ? queue(context, console) : console);
        return ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY;
    }

    private static ConsoleAppender<ILoggingEvent> console(LoggerContext context) {
        EventLayout layout = new EventLayout();
        layout.setContext(context);
        layout.start();
        LayoutWrappingEncoder<ILoggingEvent> encoder = new LayoutWrappingEncoder<>();
        encoder.setContext(context);
        encoder.setLayout(layout);
        encoder.start();
        ConsoleAppender<ILoggingEvent> console = new ConsoleAppender<>();
        console.setContext(context);
        console.setTarget(toStandardOutput ? "System.out" : "System.err");
        console.setEncoder(encoder);
        console.start();
        return console;
    }

    private static Appender<ILoggingEvent> queue(
            LoggerContext context, Appender<ILoggingEvent> target) {
        LogQueue queue = new LogQueue(context, QUEUED_LINES, RESERVED_LINES, target);
        queue.start();
        return queue;
    }
}
