package org.tarragonlug.tool;

import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

/** Copies the platform's tables into a directory. */
@Command(
        name = "fetch",
        mixinStandardHelpOptions = true,
        description = {
            "Writes the tables of the platform into a directory, as the base of edits.",
            "Exit status: 0 written, 1 no answer or not writable."
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
