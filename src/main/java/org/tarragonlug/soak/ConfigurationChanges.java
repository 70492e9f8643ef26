package org.tarragonlug.soak;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import org.tarragonlug.platform.PlatformKinds;
import org.tarragonlug.standin.PlatformStoreStandIn;

/** Writes the configuration of a soak to the store, and changes of it. */
final class ConfigurationChanges {
    private final PlatformStoreStandIn store;
    private final SoakChecker checker;
    private final ObjectNode first;
    private int version = 1;

    /**
     * Writes the first version.
     *
     * @throws IOException if the configuration can't be read
     */
    ConfigurationChanges(SoakShape shape, PlatformStoreStandIn store, SoakChecker checker)
            throws IOException {
        this.store = store;
        this.checker = checker;
        first = SoakConfiguration.of(shape);
        write(first);
    }

    /** Writes a further version, which allows all that the versions before allow. */
    void change() {
        version++;
        long now = SoakClock.millis();
        checker.onOperatorAction(
                OperatorAction.CONFIGURATION_CHANGE, GatewaySignals.ALL_GATEWAYS, now);
        write(SoakConfiguration.changed(first, version));
    }

    private void write(ObjectNode configuration) {
        store.put(PlatformKinds.CONFIGURATION, PlatformKinds.CURRENT_CONFIGURATION, configuration);
    }
}
