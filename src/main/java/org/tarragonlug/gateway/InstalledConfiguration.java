package org.tarragonlug.gateway;

import java.time.Duration;
import java.time.Instant;
import org.tarragonlug.decision.forwarding.ForwardingCoordinator;
import org.tarragonlug.decision.forwarding.ForwardingEvent;
import org.tarragonlug.decision.forwarding.ForwardingTable;
import org.tarragonlug.decision.placement.PlacementEvent;
import org.tarragonlug.objectapi.StoredObject;
import org.tarragonlug.platform.ConfigurationDecoder;
import org.tarragonlug.platform.PlatformKinds;
import org.tarragonlug.runtime.EventLog;
import org.tarragonlug.runtime.LogEvent;

/** Installs configurations; only a greater version replaces the one in force. */
final class InstalledConfiguration implements StoreWatcher.Listener {
    /** Longer than the wait of a watch and the pause after it. */
    private static final Duration LONGEST_SILENCE = Duration.ofSeconds(4);

    private final ForwardingCoordinator coordinator;
    private final ForwardingDriver forwarding;
    private final PlacementDriver placement;
    private final EventLog log;
    private final GatewayMetrics metrics;
    private final Runnable onInstalled;
    private Instant lastAnswer = Instant.EPOCH;

    /** A time before the write of a configuration that is read now. */
    private Instant writtenAfter = Instant.EPOCH;

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

    /**
     * Records when the store has answered. A watch announces a write at once; a list follows a
     * watch that was lost, so the write may have happened at any time since the answer before. So
     * it may if the process was paused.
     */
    @Override
    public void onAnswer(Instant now, boolean ofWatch) {
        boolean announced = ofWatch && now.isBefore(lastAnswer.plus(LONGEST_SILENCE));
        writtenAfter = announced ? now : lastAnswer;
        lastAnswer = now;
    }

    @Override
    public void onChanged(StoredObject object) {
        if (!object.name().name().equals(PlatformKinds.CURRENT_CONFIGURATION)) {
            return;
        }
        ForwardingTable table;
        try {
            table = ConfigurationDecoder.decode(object.content());
        } catch (IllegalArgumentException unreadable) {
            log.event(LogEvent.CONFIGURATION_REFUSED)
                    .with("detail", unreadable.getMessage())
                    .write();
            return;
        }
        boolean newer =
                coordinator.table().isEmpty()
                        || table.version().compareTo(coordinator.table().get().version()) > 0;
        if (newer) {
            install(table, object.version());
        }
    }

    private void install(ForwardingTable table, long revision) {
        log.event(LogEvent.CONFIGURATION_INSTALLED)
                .with("version", table.version())
                .with("routes", table.routeCount())
                .with("accounts", table.accounts().accounts().size())
                .with("revision", revision)
                .write();
        metrics.setConfigurationVersion(table.version().value());
        metrics.setAccounts(table.accounts().accounts().size());
        forwarding.post(new ForwardingEvent.TableInstalled(table, writtenAfter));
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
