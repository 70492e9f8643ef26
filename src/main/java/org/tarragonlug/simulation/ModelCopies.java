package org.tarragonlug.simulation;

import java.time.Duration;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.tarragonlug.decision.forwarding.ModelSpecification;

/**
 * The copies of weights that a model server keeps in memory and on its disk, from which it loads
 * models faster than from the weight store. The least recently loaded copies are dropped first.
 */
final class ModelCopies {
    private final FleetScenario scenario;
    private final Map<String, SimulatedModel> catalog;
    private final Set<String> onDisk = new LinkedHashSet<>();
    private final Set<String> inMemory = new LinkedHashSet<>();

    /**
     * Creates a server's copies, at first none.
     *
     * @param scenario states the sizes of disk and memory
     * @param catalog the models by name
     */
    ModelCopies(FleetScenario scenario, Map<String, SimulatedModel> catalog) {
        this.scenario = scenario;
        this.catalog = catalog;
    }

    /** Returns the names of the models with a copy on the disk. */
    Set<String> onDisk() {
        return Set.copyOf(onDisk);
    }

    /** Returns the names of the models with a copy in memory. */
    Set<String> inMemory() {
        return Set.copyOf(inMemory);
    }

    /** Adds a copy on the disk, unless it is there or does not fit; returns whether it did. */
    boolean addOnDisk(String model) {
        boolean fits = megabytes(onDisk) + megabytes(model) <= scenario.diskMegabytes();
        return fits && onDisk.add(model);
    }

    /** Keeps copies of a model that was loaded, and drops older ones that find no room. */
    void keep(String model) {
        keep(onDisk, model, scenario.diskMegabytes());
        keep(inMemory, model, scenario.hostMegabytes());
    }

    private void keep(Set<String> copies, String model, double megabytes) {
        copies.remove(model);
        copies.add(model);
        Iterator<String> oldest = copies.iterator();
        while (megabytes(copies) > megabytes && oldest.hasNext()) {
            oldest.next();
            oldest.remove();
        }
    }

    /** Drops all copies in memory, as the end of the process does. */
    void dropFromMemory() {
        inMemory.clear();
    }

    /** Returns how long a load from a copy takes; empty if there is no copy. */
    Optional<Duration> loadTime(String model) {
        ModelSpecification specification =
                catalog.get(model).specification(scenario.remoteLoadTime());
        if (inMemory.contains(model)) {
            return Optional.of(specification.memoryLoadTime());
        }
        return onDisk.contains(model)
                ? Optional.of(specification.diskLoadTime())
                : Optional.empty();
    }

    private double megabytes(Set<String> models) {
        return models.stream().mapToDouble(this::megabytes).sum();
    }

    private double megabytes(String model) {
        return catalog.get(model).megabytes();
    }
}
