package org.tarragonlug.tool;

import java.io.IOException;
import java.io.InputStreamReader;
import java.io.Reader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import org.tarragonlug.explain.RequestExplanation;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** Tells from the logs of gateways what became of a request. */
@Command(
        name = "explain",
        mixinStandardHelpOptions = true,
        description = {
            "Tells from the logs of gateways what became of a request: its lines in the order of"
                    + " their times, those about its servers then, and what they show.",
            "Lines that can't be read are counted and skipped.",
            "Exit status: 0 explained, 1 no line names the request, 2 a log can't be read."
        })
public final class ExplainCommand implements Callable<Integer> {
    @Parameters(paramLabel = "REQUEST", index = "0", description = "Id of the request.")
    private String request;

    @Parameters(
            paramLabel = "LOG",
            index = "1..*",
            description = "Files with the logs of all instances; standard input if none is named.")
    private List<Path> logs = List.of();

    @Override
    public Integer call() {
        RequestExplanation explanation = new RequestExplanation(request);
        try {
            if (logs.isEmpty()) {
                explanation.read(new InputStreamReader(System.in, StandardCharsets.UTF_8));
            }
            for (Path log : logs) {
                try (Reader reader = open(log)) {
                    explanation.read(reader);
                }
            }
        } catch (IOException unreadable) {
            System.err.println("the log can't be read: " + unreadable);
            return ExitStatus.INVALID_INPUT;
        }
        return explanation.print(System.out::println) ? ExitStatus.SUCCESS : ExitStatus.FAILURE;
    }

    /** Opens a log whose bytes may be no UTF-8 where it is damaged. */
    private static Reader open(Path log) throws IOException {
        return new InputStreamReader(Files.newInputStream(log), StandardCharsets.UTF_8);
    }
}
