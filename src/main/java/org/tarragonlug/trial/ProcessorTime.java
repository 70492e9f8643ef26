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

    private ProcessorTime() {}

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
