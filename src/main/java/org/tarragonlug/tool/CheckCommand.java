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

/** Checks files of settings and tables without starting anything. */
@Command(
        name = "check",
        mixinStandardHelpOptions = true,
        description = {
            "Checks settings and the tables of routes and pools without starting anything.",
            "A table of routes and a table of pools are also checked against each "
                    + "other. Every fault is printed with its path, the finding and the remedy.",
            "Exit status: 0 no faults, 2 faults."
        })
public final class CheckCommand implements Callable<Integer> {
    @Parameters(
            arity = "1..*",
            paramLabel = "FILE",
            description = "JSON files with settings, the table of routes or the table of pools.")
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

    /**
     * Checks routes and pools against each other. The check is skipped if a table has faults,
     * because unreadable rows would cause further faults that only follow from them.
     */
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
        if (root.has("routes") && isFirstOrAddFault(file, routes)
                || root.has("pools") && isFirstOrAddFault(file, pools)) {
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

    /** Returns whether the file is the first table of its kind, and adds a fault if it is not. */
    private boolean isFirstOrAddFault(Path file, Optional<?> earlier) {
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
