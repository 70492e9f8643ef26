package org.tarragonlug.tool;

import java.util.List;
import java.util.concurrent.Callable;
import org.tarragonlug.error.TarragonlugException;
import org.tarragonlug.objectapi.RowDifference;
import org.tarragonlug.objectapi.TablePublisher;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/** Publishes tables kept in version control. */
@Command(
        name = "apply",
        mixinStandardHelpOptions = true,
        description = {
            "Puts the tables of a directory into the platform.",
            "The difference is shown first. A table that was edited by somebody else since it was "
                    + "fetched is refused, naming the rows and who edited them.",
            "Exit status: 0 published, 1 conflict or no answer, 2 the tables are invalid."
        })
public final class ApplyCommand implements Callable<Integer> {
    @Mixin private TableOptions options;

    @Option(names = "--dry-run", description = "Show the difference and check, write nothing.")
    private boolean dryRun;

    @Override
    public Integer call() {
        return TableSession.run(options, this::apply);
    }

    private int apply(TablePublisher publisher) throws TarragonlugException {
        List<RowDifference> differences = publisher.diff(options.directory);
        TableSession.printDifferences(differences);
        if (dryRun) {
            publisher.check(options.directory).forEach(System.err::println);
            return publisher.check(options.directory).isEmpty()
                    ? ExitStatus.SUCCESS
                    : ExitStatus.INVALID_INPUT;
        }
        publisher.apply(options.directory);
        System.out.println("published; see the command status for acceptance");
        return ExitStatus.SUCCESS;
    }
}
