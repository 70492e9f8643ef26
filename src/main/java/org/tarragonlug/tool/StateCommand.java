package org.tarragonlug.tool;

import java.net.InetSocketAddress;
import java.util.concurrent.Callable;
import org.tarragonlug.error.TarragonlugException;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** Prints the state of every part of a process. */
@Command(
        name = "state",
        mixinStandardHelpOptions = true,
        description = {
            "Prints the state of every part of a running process as JSON.",
            "It is answered ahead of ordinary work, so it can be used while the process is "
                    + "overloaded.",
            "Exit status: 0 printed, 1 the process does not answer, 2 the address is malformed."
        })
public final class StateCommand implements Callable<Integer> {
    @Parameters(
            paramLabel = "ADDRESS",
            converter = AddressConverter.class,
            description = "Admin address of the process, such as 10.0.0.1:9001.")
    private InetSocketAddress address;

    @Override
    public Integer call() {
        try (AdminClient client = new AdminClient()) {
            System.out.println(client.get(address, "/state").toPrettyString());
            return ExitStatus.SUCCESS;
        } catch (TarragonlugException failure) {
            System.err.println(failure.getMessage());
            return ExitStatus.FAILURE;
        }
    }
}
