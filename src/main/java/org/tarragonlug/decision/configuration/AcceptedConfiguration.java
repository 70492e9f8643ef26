package org.tarragonlug.decision.configuration;

import java.time.Instant;
import org.tarragonlug.id.ConfigurationVersion;
import org.tarragonlug.id.OperationId;
import org.tarragonlug.id.ProcessId;

/**
 * Content of the object {@code configuration/accepted}.
 *
 * @param configuration the tables in force
 * @param routesVersion object version of the {@code tables/routes} that this configuration was made
 *     from
 * @param poolsVersion object version of the {@code tables/pools} that this configuration was made
 *     from
 * @param operation id of the write that stored this configuration; after a lost answer, the writer
 *     recognises its own write by this id
 * @param acceptedBy the process that stored this configuration
 * @param acceptedAt time of acceptance, by the clock of that process
 */
public record AcceptedConfiguration(
        Configuration configuration,
        long routesVersion,
        long poolsVersion,
        OperationId operation,
        ProcessId acceptedBy,
        Instant acceptedAt) {

    /** Returns the version of the accepted tables. */
    public ConfigurationVersion version() {
        return configuration.version();
    }
}
