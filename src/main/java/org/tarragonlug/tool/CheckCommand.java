package org.tarragonlug.tool;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Callable;
import org.tarragonlug.decision.configuration.Pool;
import org.tarragonlug.decision.configuration.Route;
import org.tarragonlug.decision.configuration.TableChecker;
import org.tarragonlug.decision.configuration.TableContent;
import org.tarragonlug.decision.configuration.TableFault;
import org.tarragonlug.objectapi.ObjectName;
import org.tarragonlug.objectapi.StoredObject;
import org.tarragonlug.objectapi.TableCodec;
import org.tarragonlug.objectapi.UnknownFields;
import org.tarragonlug.runtime.Fault;
import org.tarragonlug.runtime.Json;
import org.tarragonlug.runtime.SettingsLoader;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** Checks files without starting anything. */
@Command(
        name = "check",
        mixinStandardHelpOptions = true,
        description = {
            "Checks settings and the tables of routes and pools without starting anything.",
            "A table of routes and one of pools are also checked against each "
                    + "other. Every fault is "
                    + "printed with its path, what was found and the remedy.",
            "Exit status: 0 no fault, 2 faults."
        })
public final class CheckCommand implements Callable<Integer> {
    @Parameters(
            arity = "1..*",
            paramLabel = "FILE",
            description = "Files of settings, of the table of routes or of pools, as JSON.")
    private List<Path> files;

    private final TableCodec codec = new TableCodec();
    private final List<String> faults = new ArrayList<>();
    private Optional<TableContent<Route>> routes = Optional.empty();
    private Optional<TableContent<Pool>> pools = Optional.empty();

    @Override
    public Integer call() {
        files.forEach(this::checkFile);
        checkTablesAgainstEachOther();
        faults.forEach(System.err::println);
        if (faults.isEmpty()) {
            System.out.println("no faults; files checked: " + files.size());
            return ExitStatus.SUCCESS;
        }
        return ExitStatus.INVALID_INPUT;
    }

    /** Rows of a table that could not be read would only add faults that follow from that. */
    private void checkTablesAgainstEachOther() {
        boolean incomplete = hasFaults(routes) || hasFaults(pools);
        if (incomplete || routes.isEmpty() && pools.isEmpty()) {
            return;
        }
        List<Route> routeRows = routes.map(TableContent::rows).orElse(List.of());
        List<Pool> poolRows = pools.map(TableContent::rows).orElse(List.of());
        TableChecker.check(routeRows, poolRows, Map.of()).stream()
                .filter(fault -> pools.isPresent() || !fault.path().endsWith(".pool"))
                .forEach(fault -> faults.add("tables: " + fault));
    }

    private static boolean hasFaults(Optional<? extends TableContent<?>> table) {
        return table.map(content -> !content.faults().isEmpty()).orElse(false);
    }

    private void checkFile(Path file) {
        JsonNode root;
        try {
            root = Json.readFile(file);
        } catch (JsonProcessingException malformed) {
            addFault(file, new Fault("$", malformed.getOriginalMessage(), "write valid JSON"));
            return;
        } catch (IOException unreadable) {
            addFault(file, new Fault("$", "cannot be read", "name a readable file"));
            return;
        }
        if (root.has("routes") && addFaultUnlessFirst(file, routes)
                || root.has("pools") && addFaultUnlessFirst(file, pools)) {
            checkTable(file, root);
        } else if (root.has("routes") || root.has("pools")) {
            return;
        } else if (root.has("deployment") || root.has("instance")) {
            new SettingsLoader().check(root).forEach(fault -> addFault(file, fault));
        } else {
            addFault(
                    file,
                    new Fault(
                            "$",
                            "neither settings nor a table",
                            "a table has the field routes or pools, settings have deployment"));
        }
    }

    private boolean addFaultUnlessFirst(Path file, Optional<?> earlier) {
        if (earlier.isPresent()) {
            addFault(
                    file,
                    new Fault(
                            "$",
                            "a second table of the same kind",
                            "check the tables of one deployment at a time"));
        }
        return earlier.isEmpty();
    }

    private void checkTable(Path file, JsonNode root) {
        if (root.has("routes")) {
            TableContent<Route> table =
                    codec.readRoutes(asStoredObject(TableCodec.ROUTES, root), UnknownFields.REJECT);
            routes = Optional.of(table);
            addTableFaults(file, table.faults());
        } else {
            TableContent<Pool> table =
                    codec.readPools(asStoredObject(TableCodec.POOLS, root), UnknownFields.REJECT);
            pools = Optional.of(table);
            addTableFaults(file, table.faults());
        }
    }

    private static StoredObject asStoredObject(String table, JsonNode root) {
        return new StoredObject(new ObjectName("tables", table), 1, root);
    }

    private void addTableFaults(Path file, List<TableFault> found) {
        found.forEach(fault -> faults.add(file + ": " + fault));
    }

    private void addFault(Path file, Fault fault) {
        faults.add(file + ": " + fault);
    }
}
