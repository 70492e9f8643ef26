package org.tarragonlug.tool;

import java.util.List;
import java.util.concurrent.Callable;
import org.tarragonlug.objectapi.RowDifference;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

/** Compares tables kept in version control with those of the platform. */
@Command(
        name = "diff",
        mixinStandardHelpOptions = true,
        description = {
            "Compares the tables of a directory with those of the platform, by row and field.",
            "Exit status: 0 the same, 1 different or no answer, 2 the tables are invalid."
        })
public final class DiffCommand implements Callable<Integer> {
    @Mixin private TableOptions options;

    @Override
    public Integer call() {
        return TableSession.run(
                options,
                publisher -> {
                    List<RowDifference> differences = publisher.diff(options.directory);
                    TableSession.printDifferences(differences);
                    return differences.isEmpty() ? ExitStatus.SUCCESS : ExitStatus.FAILURE;
                });
    }
}
