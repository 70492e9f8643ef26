package org.tarragonlug.tool;

import java.util.List;
import java.util.concurrent.Callable;
import org.tarragonlug.objectapi.RowDifference;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

/** Compares tables that are kept in version control with the tables of the platform. */
@Command(
        name = "diff",
        mixinStandardHelpOptions = true,
        description = {
            "Compares the tables of a directory with those of the platform, row by row and field "
                    + "by field.",
            "Exit status: 0 no differences, 1 differences or no answer, 2 the tables are invalid."
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
