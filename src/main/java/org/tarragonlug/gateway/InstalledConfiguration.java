package org.tarragonlug.gateway;

import java.util.Optional;
import org.tarragonlug.decision.forwarding.ForwardingCoordinator;
import org.tarragonlug.decision.forwarding.ForwardingEvent;
import org.tarragonlug.decision.forwarding.ForwardingTable;
import org.tarragonlug.decision.placement.PlacementEvent;
import org.tarragonlug.id.ConfigurationVersion;
import org.tarragonlug.id.StorePosition;
import org.tarragonlug.objectapi.StoredObject;
import org.tarragonlug.platform.ConfigurationDecoder;
import org.tarragonlug.platform.PlatformKinds;
import org.tarragonlug.runtime.EventLog;
import org.tarragonlug.runtime.LogEvent;

/** Installs configurations; only a greater version replaces the one in force. */
final class InstalledConfiguration implements StoreWatcher.Listener {
    private final ForwardingCoordinator coordinator;
    private final ForwardingDriver forwarding;
    private final PlacementDriver placement;
    private final EventLog log;
    private final GatewayMetrics metrics;
    private final Runnable onInstalled;

    /**
     * Creates the listener.
     *
     * @param coordinator knows the configuration in force
     * @param onInstalled called when a configuration was installed or the first list has been read
     */
    InstalledConfiguration(
            ForwardingCoordinator coordinator,
            ForwardingDriver forwarding,
            PlacementDriver placement,
            EventLog log,
            GatewayMetrics metrics,
            Runnable onInstalled) {
        this.coordinator = coordinator;
        this.forwarding = forwarding;
        this.placement = placement;
        this.log = log;
        this.metrics = metrics;
        this.onInstalled = onInstalled;
    }

    @Override
    public void onChanged(StoredObject object) {
        if (object.name().name().equals(PlatformKinds.CURRENT_CONFIGURATION)) {
            receive(object);
        }
    }

    /**
     * Installs a configuration that was read if it is newer than the one in force.
     *
     * @return whether what was read is at least as new as what is in force now; a store that has
     *     come back from an older copy may show an older configuration or none
     */
    boolean receive(StoredObject object) {
        Optional<ConfigurationVersion> inForce = coordinator.table().map(ForwardingTable::version);
        if (!object.exists()) {
            return inForce.isEmpty();
        }
        ForwardingTable table;
        try {
            table = ConfigurationDecoder.decode(object.content());
        } catch (IllegalArgumentException unreadable) {
            log.event(LogEvent.CONFIGURATION_REFUSED)
                    .with("detail", unreadable.getMessage())
                    .write();
            return false;
        }
        int difference = inForce.map(table.version()::compareTo).orElse(1);
        if (difference > 0) {
            install(table, object.position());
        } else if (difference < 0) {
            log.event(LogEvent.CONFIGURATION_OLDER)
                    .with("version", table.version())
                    .with("in_force", inForce.get())
                    .with("position", object.position())
                    .write();
        }
        return difference >= 0;
    }

    private void install(ForwardingTable table, StorePosition position) {
        log.event(LogEvent.CONFIGURATION_INSTALLED)
                .with("version", table.version())
                .with("routes", table.routeCount())
                .with("accounts", table.accounts().accounts().size())
                .with("revision", position)
                .write();
        metrics.setConfigurationVersion(table.version().value());
        metrics.setAccounts(table.accounts().accounts().size());
        forwarding.post(new ForwardingEvent.TableInstalled(table));
        placement.post(new PlacementEvent.TableInstalled(table));
        onInstalled.run();
    }

    @Override
    public void onRemoved(String name) {
        // The installed configuration stays in force until a newer one replaces it.
    }

    @Override
    public void onInitialListComplete() {
        onInstalled.run();
    }
}
