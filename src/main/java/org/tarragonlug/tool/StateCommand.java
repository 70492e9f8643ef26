package org.tarragonlug.tool;

import java.util.concurrent.Callable;
import org.tarragonlug.error.TarragonlugException;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** Prints the state of every part of a process. */
@Command(
        name = "state",
        mixinStandardHelpOptions = true,
        description = {
            "Prints the state of every part of a running process as JSON. It is answered ahead of",
            "ordinary work, so it can be used while the process is overloaded.",
            "Exit status: 0 printed, 1 the process does not answer."
        })
public final class StateCommand implements Callable<Integer> {
    @Parameters(
            paramLabel = "ADDRESS",
            description = "Admin address of the process, such as 10.0.0.1:9001.")
    private String address;

    @Override
    public Integer call() {
        try (AdminClient client = new AdminClient()) {
            System.out.println(client.get(address, "/state").toPrettyString());
            return ExitStatus.GOOD;
        } catch (TarragonlugException failure) {
            System.err.println(failure.getMessage());
            return ExitStatus.FAILED;
        }
    }
}
