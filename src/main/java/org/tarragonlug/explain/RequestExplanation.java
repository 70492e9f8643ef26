package org.tarragonlug.explain;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.Reader;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/** Reads the logs of instances and tells what became of one request. */
public final class RequestExplanation {
    private final String id;
    private final List<LogRecord> records = new ArrayList<>();
    private long skippedLines;

    /**
     * Creates an explanation without any lines.
     *
     * @param id id of the request
     */
    public RequestExplanation(String id) {
        this.id = id;
    }

    /**
     * Reads a log. Lines that are no records are counted and skipped.
     *
     * @param log lines of one or several instances, those of each in their order
     * @throws IOException if the log can't be read
     */
    public void read(Reader log) throws IOException {
        LogRecordParser parser = new LogRecordParser();
        BufferedReader lines = new BufferedReader(log);
        for (String line = lines.readLine(); line != null; line = lines.readLine()) {
            Optional<LogRecord> record = parser.parse(line);
            record.ifPresent(records::add);
            skippedLines += record.isPresent() || line.isBlank() ? 0 : 1;
        }
    }

    /**
     * Prints the way of the request, what may explain it, and what the lines show.
     *
     * @return whether any line names the request
     */
    public boolean print(Consumer<String> output) {
        RequestTrace trace = RequestTrace.of(id, records);
        output.accept("request " + trace.id());
        trace.own().forEach(each -> output.accept("  " + each.text()));
        if (!trace.surroundings().isEmpty()) {
            output.accept("its servers and instances at that time");
            trace.surroundings().forEach(each -> output.accept("  " + each.text()));
        }
        output.accept("shown by these lines");
        Conclusion.of(trace)
                .forEach(each -> output.accept("  " + each.name() + ": " + each.text()));
        if (skippedLines > 0) {
            output.accept(skippedLines + " lines could not be read and were skipped");
        }
        return !trace.own().isEmpty();
    }
}
