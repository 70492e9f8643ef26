package org.tarragonlug.tool;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Files;
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
            "Checks settings and tables of routes and pools, the tables also against each other,",
            "without starting anything. Every fault is printed with its path, what was found and",
            "the remedy. Exit status: 0 no fault, 2 faults."
        })
public final class CheckCommand implements Callable<Integer> {
    @Parameters(arity = "1..*", paramLabel = "FILE", description = "JSON files of any kind.")
    private List<Path> files;

    private final TableCodec codec = new TableCodec();
    private final List<String> faults = new ArrayList<>();
    private Optional<TableContent<Route>> routes = Optional.empty();
    private Optional<TableContent<Pool>> pools = Optional.empty();

    @Override
    public Integer call() {
        files.forEach(this::checkFile);
        if (routes.isPresent() && pools.isPresent() && faults.isEmpty()) {
            TableChecker.check(routes.get().rows(), pools.get().rows(), Map.of())
                    .forEach(fault -> faults.add("tables: " + fault));
        }
        faults.forEach(System.err::println);
        if (faults.isEmpty()) {
            System.out.println("no faults in " + files.size() + " files");
            return ExitStatus.GOOD;
        }
        return ExitStatus.USAGE;
    }

    private void checkFile(Path file) {
        JsonNode root;
        try {
            root = Json.MAPPER.readTree(Files.readAllBytes(file));
        } catch (JsonProcessingException malformed) {
            add(file, new Fault("$", malformed.getOriginalMessage(), "write valid JSON"));
            return;
        } catch (IOException unreadable) {
            add(file, new Fault("$", "cannot be read", "name a readable file"));
            return;
        }
        if (root.has("routes")) {
            TableContent<Route> table =
                    codec.readRoutes(stored(TableCodec.ROUTES, root), UnknownFields.REJECT);
            routes = Optional.of(table);
            addAll(file, table.faults());
        } else if (root.has("pools")) {
            TableContent<Pool> table =
                    codec.readPools(stored(TableCodec.POOLS, root), UnknownFields.REJECT);
            pools = Optional.of(table);
            addAll(file, table.faults());
        } else if (root.has("deployment") || root.has("instance")) {
            new SettingsLoader().check(root).forEach(fault -> add(file, fault));
        } else {
            add(
                    file,
                    new Fault(
                            "$",
                            "neither settings nor a table",
                            "a table has the field routes or pools, settings have deployment"));
        }
    }

    private static StoredObject stored(String table, JsonNode root) {
        return new StoredObject(new ObjectName("tables", table), 1, root);
    }

    private void addAll(Path file, List<TableFault> found) {
        found.forEach(fault -> faults.add(file + ": " + fault));
    }

    private void add(Path file, Fault fault) {
        faults.add(file + ": " + fault);
    }
}
