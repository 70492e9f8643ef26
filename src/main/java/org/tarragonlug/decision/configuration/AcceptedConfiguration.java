package org.tarragonlug.decision.configuration;

import java.time.Instant;
import org.tarragonlug.id.ConfigurationVersion;
import org.tarragonlug.id.OperationId;
import org.tarragonlug.id.ProcessId;

/**
 * Content of the object {@code configuration/accepted}.
 *
 * @param configuration the tables in force
 * @param routesVersion object version of {@code tables/routes} it was made from
 * @param poolsVersion object version of {@code tables/pools} it was made from
 * @param operation the write that made it, by which its writer recognises it after a lost answer
 * @param acceptedBy the process that wrote it
 * @param acceptedAt when, by the clock of that process
 */
public record AcceptedConfiguration(
        Configuration configuration,
        long routesVersion,
        long poolsVersion,
        OperationId operation,
        ProcessId acceptedBy,
        Instant acceptedAt) {
    /** Returns the version of the configuration. */
    public ConfigurationVersion version() {
        return configuration.version();
    }
}
