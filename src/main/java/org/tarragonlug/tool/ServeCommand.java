package org.tarragonlug.tool;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import org.tarragonlug.runtime.LogConfigurator;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs a gateway on the users' platform until a signal stops it. */
@Command(
        name = "serve",
        mixinStandardHelpOptions = true,
        description = {
            "Runs a gateway on the users' platform until SIGTERM, which stops it gracefully.",
            "SIGHUP checks the settings file and logs the result.",
            "Logs one line of key=value pairs per event to standard output.",
            "Exit status: 0 stopped gracefully, 1 failed, 2 the settings are invalid or an "
                    + "address is in use."
        })
public final class ServeCommand implements Callable<Integer> {
    @Option(
            names = "--settings",
            description =
                    "JSON file with the settings; by default the file that the environment "
                            + "variable TARRAGONLUG_NODE_FILE names.",
            defaultValue = "${env:TARRAGONLUG_NODE_FILE}",
            required = true)
    private Path settingsFile;

    @Override
    public Integer call() throws InterruptedException {
        LogConfigurator.logToStandardOutput();
        return GatewayProcess.run(settingsFile);
    }
}
