package org.tarragonlug.tool;

import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

/** Writes the platform's tables to a directory. */
@Command(
        name = "fetch",
        mixinStandardHelpOptions = true,
        description = {
            "Writes the tables of the platform to a directory, as the base of edits.",
            "Exit status: 0 written, 1 no answer or the directory is not writable."
        })
public final class FetchCommand implements Callable<Integer> {
    @Mixin private TableOptions options;

    @Override
    public Integer call() {
        return TableSession.run(
                options,
                publisher -> {
                    publisher.fetch(options.directory);
                    System.out.println("wrote routes.json and pools.json");
                    return ExitStatus.SUCCESS;
                });
    }
}
