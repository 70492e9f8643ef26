package org.tarragonlug.soak;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import org.tarragonlug.platform.PlatformKinds;

/**
 * Writes the configuration of a soak to the store, and changes of it. Where the store returns from
 * older copies, versions add routes and drop earlier ones, and {@link #writeAgain} writes the
 * newest version once more. Thread-safe.
 */
final class ConfigurationChanges {
    private final StoreWriter store;
    private final SoakChecker checker;
    private final ObjectNode first;
    private final boolean addsRoutes;
    private int version = 1;

    /**
     * Writes the first version.
     *
     * @throws IOException if the configuration can't be read
     */
    ConfigurationChanges(SoakShape shape, StoreWriter store, SoakChecker checker)
            throws IOException {
        this.store = store;
        this.checker = checker;
        first = SoakConfiguration.of(shape);
        addsRoutes = shape.faults().restoresStore();
        write(addsRoutes ? SoakConfiguration.withAddedRoutes(first, version) : first);
    }

    /** Writes a further version, which allows all that callers ask of the versions before. */
    synchronized void change() {
        version++;
        writeNewest();
    }

    /** Writes the newest version once more. */
    synchronized void writeAgain() {
        writeNewest();
    }

    /** Returns the newest version that was written or tried to be written. */
    synchronized int version() {
        return version;
    }

    private void writeNewest() {
        long now = SoakClock.millis();
        checker.onOperatorAction(
                OperatorAction.CONFIGURATION_CHANGE, GatewaySignals.ALL_GATEWAYS, now);
        write(
                addsRoutes
                        ? SoakConfiguration.withAddedRoutes(first, version)
                        : SoakConfiguration.changed(first, version));
    }

    private void write(ObjectNode configuration) {
        checker.onVersionSent(version);
        boolean written =
                store.put(
                        PlatformKinds.CONFIGURATION,
                        PlatformKinds.CURRENT_CONFIGURATION,
                        configuration);
        if (written) {
            checker.onVersionStored(version, SoakClock.millis());
        }
    }
}
