package org.tarragonlug;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.servicetalk.transport.api.IoExecutor;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.tarragonlug.http.IoThreads;
import org.tarragonlug.objectapi.ObjectName;
import org.tarragonlug.standin.Deployment;
import org.tarragonlug.standin.ObjectApiStandIn;
import org.tarragonlug.standin.StandInPlatform;
import picocli.CommandLine;
import picocli.CommandLine.Help.Ansi;

/**
 * Guards against an unnoticed change of the command line, on which operators' scripts are built.
 */
class ToolTest {
    private static final String POOLS =
            "{\"formatVersion\":1,\"pools\":[{\"name\":\"p\",\"group\":\"g\",\"artifacts\":"
                    + "[{\"artifact\":\"m@1\",\"memoryBytes\":1}]}]}";

    @TempDir private Path directory;
    private final ByteArrayOutputStream output = new ByteArrayOutputStream();

    /** Runs a command and collects what it prints on both streams. */
    private int run(Object... arguments) {
        PrintStream standardOutput = System.out;
        PrintStream standardError = System.err;
        PrintStream collecting = new PrintStream(output, true, StandardCharsets.UTF_8);
        try {
            System.setOut(collecting);
            System.setErr(collecting);
            String[] texts = new String[arguments.length];
            for (int index = 0; index < texts.length; index++) {
                texts[index] = arguments[index].toString();
            }
            PrintWriter writer = new PrintWriter(collecting, true, StandardCharsets.UTF_8);
            return Tool.commandLine().setErr(writer).setOut(writer).execute(texts);
        } finally {
            System.setOut(standardOutput);
            System.setErr(standardError);
        }
    }

    private Path file(String name, String text) throws Exception {
        return Files.writeString(directory.resolve(name), text);
    }

    private static String routes(String rows) {
        return "{\"formatVersion\":1,\"routes\":[" + rows + "]}";
    }

    private void assertPrinted(String expected) {
        String text = output.toString(StandardCharsets.UTF_8);
        assertTrue(text.contains(expected), text);
    }

    @Nested
    class Help {
        @Test
        void helpOfEveryCommandMatchesApprovedText() {
            StringBuilder text = new StringBuilder();
            append(text, Tool.commandLine());
            Approved.verify(text.toString());
        }

        private void append(StringBuilder text, CommandLine command) {
            text.append(command.getUsageMessage(Ansi.OFF)).append('\n');
            command.getSubcommands().values().forEach(child -> append(text, child));
        }
    }

    @Nested
    class ExitStatuses {
        @Test
        void exitsWithZeroForHelpAndVersion() {
            assertEquals(0, run("--help"));
            assertEquals(0, run("--version"));
            assertEquals(0, run());
        }

        @Test
        void exitsWithTwoForInvalidCommandLines() {
            assertEquals(2, run("unknown"));
            assertEquals(2, run("run"));
            assertEquals(2, run("measure"));
            assertEquals(2, run("check"));
            assertEquals(2, run("state", "nowhere"));
            assertEquals(2, run("status", "127.0.0.1:0"));
            assertEquals(2, run("try", "--rate", 0));
            assertEquals(2, run("try", "--instances", 33));
            assertEquals(2, run("stand-ins", "--directory", directory, "--scale", 0));
            assertEquals(2, run("stand-ins", "--directory", directory.resolve("missing")));
        }

        @Test
        void exitsWithTwoForInvalidSettings() throws Exception {
            assertEquals(2, run("run", "--settings", file("entry.json", "{}")));
            assertPrinted("$: the field platform is missing; remedy: add the field platform");
        }

        @Test
        void exitsWithOneWhenProcessDoesNotAnswer() {
            assertEquals(1, run("state", "127.0.0.1:1"));
            assertEquals(1, run("status", "127.0.0.1:1"));
            assertPrinted("address=127.0.0.1:1");
        }
    }

    @Nested
    class Check {
        @Test
        void checkReportsNoFaultsForValidTables() throws Exception {
            String rows =
                    "{\"name\":\"r\",\"pathPrefix\":\"/v1\",\"pool\":\"p\",\"models\":[\"m\"]}";
            Path routes = file("routes.json", routes(rows));
            assertEquals(0, run("check", routes, file("pools.json", POOLS)));
            assertEquals(0, run("check", routes));
            assertEquals(0, run("check", file("pools.json", POOLS)));
        }

        @Test
        void checkReportsTableMismatchesAlongsideSettingsFaults() throws Exception {
            String rows = "{\"name\":\"r\",\"pathPrefix\":\"/v1\",\"pool\":\"q\"}";
            Path routes = file("routes.json", routes(rows));
            Path pools = file("pools.json", POOLS);
            assertEquals(2, run("check", routes, pools, file("s.json", "{\"deployment\":\"d\"}")));
            assertPrinted("tables: $.routes[0].pool: there is no pool 'q'; remedy: ");
            assertPrinted("s.json: $: the field instance is missing; remedy: add");
        }

        /** Their routes had a field that is not of the table, so operators' first check failed. */
        @Test
        void checkReportsNoFaultsForTablesOfStandIns() throws Exception {
            IoExecutor ioExecutor = IoThreads.create(1);
            for (Deployment deployment : Deployment.values()) {
                try (StandInPlatform platform = new StandInPlatform(deployment, ioExecutor, 1)) {
                    ObjectApiStandIn objects = platform.objectApi();
                    Path routes = file("r.json", table(objects, "routes"));
                    assertEquals(0, run("check", routes, file("p.json", table(objects, "pools"))));
                }
            }
            ioExecutor.closeAsync().toFuture().get();
        }

        private String table(ObjectApiStandIn objects, String name) {
            return objects.peek(new ObjectName("tables", name)).content().toString();
        }

        /** Rows of a table given alone were not checked against each other. */
        @Test
        void checkReportsDuplicateRowsOfSingleTable() throws Exception {
            String row = "{\"name\":\"r\",\"pathPrefix\":\"/v1\",\"pool\":\"p\"}";
            assertEquals(2, run("check", file("routes.json", routes(row + "," + row))));
            assertPrinted("$.routes[1].name: 'r' is also the name of row 0");
        }

        /** The last table of a kind replaced the others without a word. */
        @Test
        void checkReportsSecondTableOfSameKind() throws Exception {
            assertEquals(2, run("check", file("a.json", POOLS), file("b.json", POOLS)));
            assertPrinted("b.json: $: a second table of the same kind");
        }

        @Test
        void checkNamesFaultyRowsFilesAndFields() throws Exception {
            Path routes = file("routes.json", routes("{\"name\":\"r\",\"colour\":1}"));
            assertEquals(2, run("check", routes, file("x.json", "["), directory.resolve("none")));
            assertPrinted("routes.json: $.routes[0]");
            assertPrinted("x.json: $: ");
            assertPrinted("none: $: cannot be read; remedy: name a readable file");
            assertEquals(2, run("check", file("other.json", "{}")));
            assertPrinted("other.json: $: neither settings nor a table");
        }
    }
}
