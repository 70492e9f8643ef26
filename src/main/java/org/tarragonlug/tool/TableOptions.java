package org.tarragonlug.tool;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Options that all commands on a directory of tables have in common. */
final class TableOptions {
    @Parameters(
            paramLabel = "DIRECTORY",
            description = "Directory with routes.json and pools.json, kept in version control.")
    Path directory;

    @Option(
            names = "--object-api",
            required = true,
            paramLabel = "ADDRESS",
            converter = AddressConverter.class,
            description = "Address of the platform's object API, such as 10.0.0.9:8080.")
    InetSocketAddress objectApi;

    @Option(
            names = "--operator",
            paramLabel = "NAME",
            defaultValue = "${sys:user.name}",
            description =
                    "Name of the editor, shown to others on a conflict; by default the system "
                            + "user.")
    String operator;
}
