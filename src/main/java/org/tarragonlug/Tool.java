package org.tarragonlug;

import org.tarragonlug.tool.ApplyCommand;
import org.tarragonlug.tool.CheckCommand;
import org.tarragonlug.tool.DiffCommand;
import org.tarragonlug.tool.ExplainCommand;
import org.tarragonlug.tool.FetchCommand;
import org.tarragonlug.tool.LoadCommand;
import org.tarragonlug.tool.MeasureCommand;
import org.tarragonlug.tool.RunCommand;
import org.tarragonlug.tool.ServeCommand;
import org.tarragonlug.tool.SoakCommand;
import org.tarragonlug.tool.StandInsCommand;
import org.tarragonlug.tool.StateCommand;
import org.tarragonlug.tool.StatusCommand;
import org.tarragonlug.tool.TryCommand;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/** The program's entry point, which parses the command line and runs the chosen command. */
@Command(
        name = "tarragonlug",
        mixinStandardHelpOptions = true,
        subcommands = {
            RunCommand.class,
            ServeCommand.class,
            CheckCommand.class,
            FetchCommand.class,
            DiffCommand.class,
            ApplyCommand.class,
            StatusCommand.class,
            StateCommand.class,
            ExplainCommand.class,
            TryCommand.class,
            SoakCommand.class,
            StandInsCommand.class,
            LoadCommand.class,
            MeasureCommand.class
        },
        version = "tarragonlug 0.1.0",
        description =
                "Serves many rarely used models, configured by a table of routes and a table of "
                        + "pools.")
public final class Tool implements Runnable {
    @Override
    public void run() {
        CommandLine.usage(this, System.out);
    }

    /**
     * Runs the program and exits with the status of the command.
     *
     * @param arguments the arguments of the command line
     */
    public static void main(String[] arguments) {
        System.exit(commandLine().execute(arguments));
    }

    static CommandLine commandLine() {
        return new CommandLine(new Tool()).setCaseInsensitiveEnumValuesAllowed(true);
    }
}
