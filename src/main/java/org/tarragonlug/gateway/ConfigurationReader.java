package org.tarragonlug.gateway;

import java.util.concurrent.Executor;
import org.tarragonlug.decision.forwarding.ForwardingEvent;
import org.tarragonlug.objectapi.ObjectApi;
import org.tarragonlug.objectapi.StoredObject;
import org.tarragonlug.platform.PlatformKinds;
import org.tarragonlug.runtime.EventLog;
import org.tarragonlug.runtime.LogEvent;

/**
 * Reads the configuration in addition to its watch, when a caller has a key that is unknown to this
 * instance. A watch may lag by its pauses, or be silent; a read shows what the store holds now.
 */
final class ConfigurationReader {
    private final ObjectApi store;
    private final InstalledConfiguration configuration;
    private final ForwardingDriver forwarding;
    private final Executor loop;
    private final EventLog log;
    private final GatewayMetrics metrics;

    ConfigurationReader(
            ObjectApi store,
            InstalledConfiguration configuration,
            ForwardingDriver forwarding,
            Executor loop,
            EventLog log,
            GatewayMetrics metrics) {
        this.store = store;
        this.configuration = configuration;
        this.forwarding = forwarding;
        this.loop = loop;
        this.log = log;
        this.metrics = metrics;
    }

    /**
     * Reads the configuration, and installs it if it is newer than the one in force. A read that
     * fails is repeated once: the first one may have been a trial whether the store is back, and
     * the second one goes through a peer. A read that shows an older configuration than the one in
     * force does not succeed, because it does not show which keys are valid now.
     */
    void read() {
        read(false);
    }

    private void read(boolean again) {
        store.read(PlatformKinds.currentConfiguration())
                .whenCompleteAsync(
                        (object, failure) -> {
                            if (failure != null && !again) {
                                read(true);
                            } else {
                                onRead(object, failure);
                            }
                        },
                        loop);
    }

    private void onRead(StoredObject object, Throwable failure) {
        boolean succeeded = false;
        try {
            succeeded = failure == null && configuration.receive(object);
        } finally {
            metrics.recordConfigurationRead(succeeded);
            log.event(LogEvent.CONFIGURATION_READ)
                    .with("succeeded", succeeded)
                    .with("position", failure == null ? object.position() : "unknown")
                    .write();
            forwarding.post(new ForwardingEvent.ConfigurationRead(succeeded));
        }
    }
}
