package org.tarragonlug.decision.configuration;

import java.time.Instant;
import java.util.List;
import org.tarragonlug.id.ConfigurationVersion;

/**
 * Content of the object {@code status/configuration}.
 *
 * @param accepted the version in force
 * @param routesVersion object version of the checked {@code tables/routes}
 * @param poolsVersion object version of the checked {@code tables/pools}
 * @param faults reasons why the checked tables were not accepted; empty if they were accepted
 * @param checkedAt time of the check, by the clock of the configuration owner
 */
public record ConfigurationStatus(
        ConfigurationVersion accepted,
        long routesVersion,
        long poolsVersion,
        List<TableFault> faults,
        Instant checkedAt) {
    public ConfigurationStatus {
        faults = List.copyOf(faults);
    }
}
