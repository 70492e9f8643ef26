package org.tarragonlug.trial;

import java.io.IOException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.Map;
import java.util.TreeMap;

/** Reads the processor time of the threads of a process from the {@code /proc} file system. */
final class ProcessorTime {
    private static final double NANOS_PER_SECOND = 1e9;

    /** Unit of the times in {@code /proc/PID/stat}, the same on all usual systems. */
    private static final double TICKS_PER_SECOND = 100;

    /** Places of the user and the system time among the fields after the name of the program. */
    private static final int USER_TIME_FIELD = 11;

    private static final int SYSTEM_TIME_FIELD = 12;

    private ProcessorTime() {}

    /**
     * Returns the processor seconds that a process has used, those of ended threads included.
     *
     * @param process id of the process
     * @throws IOException if the process has ended
     */
    static double ofProcess(long process) throws IOException {
        String text = Files.readString(Path.of("/proc", Long.toString(process), "stat"));
        // The name of the program is in parentheses and may contain blanks.
        String[] fields = text.substring(text.lastIndexOf(')') + 2).split(" ");
        long ticks =
                Long.parseLong(fields[USER_TIME_FIELD]) + Long.parseLong(fields[SYSTEM_TIME_FIELD]);
        return ticks / TICKS_PER_SECOND;
    }

    /**
     * Returns the processor seconds that the live threads of a process have used, by the name of
     * the thread without its number.
     *
     * @param process id of the process
     * @throws IOException if the process has ended
     */
    static Map<String, Double> byThread(long process) throws IOException {
        Map<String, Double> seconds = new TreeMap<>();
        Path tasks = Path.of("/proc", Long.toString(process), "task");
        try (DirectoryStream<Path> each = Files.newDirectoryStream(tasks)) {
            for (Path task : each) {
                addThread(task, seconds);
            }
        }
        return seconds;
    }

    private static void addThread(Path task, Map<String, Double> seconds) throws IOException {
        try {
            String name = Files.readString(task.resolve("comm")).trim().replaceAll("[0-9-]+", "");
            String nanos = Files.readString(task.resolve("schedstat")).split(" ")[0];
            seconds.merge(name, Long.parseLong(nanos) / NANOS_PER_SECOND, Double::sum);
        } catch (NoSuchFileException ended) {
            // The thread ended after the list of threads was read.
            return;
        }
    }
}
