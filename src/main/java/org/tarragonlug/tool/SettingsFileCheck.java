package org.tarragonlug.tool;

import java.nio.file.Path;
import org.tarragonlug.error.TarragonlugException;
import org.tarragonlug.gateway.Gateway;
import org.tarragonlug.gateway.GatewaySettings;
import org.tarragonlug.gateway.GatewaySettingsLoader;

/**
 * Reads the settings file again when it has changed, and has the gateway log whether a restart
 * would change the settings in force. Does nothing before the gateway has its settings.
 */
final class SettingsFileCheck {
    private final Path file;
    private volatile Runnable check = () -> {};

    SettingsFileCheck(Path file) {
        this.file = file;
    }

    /**
     * Begins to check for a gateway.
     *
     * @param inForce the settings with which the gateway was created
     */
    void startFor(Gateway gateway, GatewaySettings inForce) {
        check = () -> compare(gateway, inForce);
    }

    /** Checks the file; called when it may have changed. */
    void run() {
        check.run();
    }

    private void compare(Gateway gateway, GatewaySettings inForce) {
        try {
            GatewaySettings changed = new GatewaySettingsLoader().load(file);
            gateway.onSettingsChanged(
                    changed.equals(inForce)
                            ? "no setting that the gateway reads has changed"
                            : "the changed settings are in force after a restart");
        } catch (TarragonlugException invalid) {
            gateway.onSettingsChanged(invalid.getMessage());
        }
    }
}
