package org.tarragonlug.decision.quota;

import java.time.Duration;

/**
 * What the platform tolerates beyond the allowance of an account. In every sliding window the cost
 * of an account's requests is at most (rate x window + burst) x (1 + overage) + slack.
 *
 * @param window length of the window
 * @param overage fraction of the allowance that is tolerated beyond it; not negative
 * @param slack tolerated beyond that, in the unit of the quota; not negative
 */
public record QuotaTolerance(Duration window, double overage, double slack) {
    public QuotaTolerance {
        if (window.isNegative() || window.isZero() || overage < 0 || slack < 0) {
            throw new IllegalArgumentException(
                    "quotaWindowSeconds must be positive, quotaOverage and quotaSlack 0 or more;"
                            + " correct the settings");
        }
    }
}
