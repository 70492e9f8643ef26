package org.tarragonlug.decision.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.Optional;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.tarragonlug.TestSeeds;
import org.tarragonlug.decision.account.Quota;
import org.tarragonlug.decision.account.QuotaUnit;

class QuotaPlanTest {
    private static final double TIMES =
            QuotaTimes.seconds(
                    QuotaTimes.MAX_STALL
                            .plus(QuotaTimes.MAX_WAIT)
                            .plus(QuotaTimes.GRANT_LIFETIME)
                            .plus(QuotaTimes.MAX_CREDIT));

    /** Guards against quotas, large or small, whose grants and advances exceed the limit. */
    @Test
    void grantsAndAdvancesOfOneWindowStayWithinLimit() {
        TestSeeds.forEach(
                seed -> {
                    SplittableRandom random = new SplittableRandom(seed);
                    for (int round = 0; round < 1000; round++) {
                        double rate = Math.exp(random.nextDouble() * 14);
                        double burst = random.nextInt(3) * rate;
                        double slack = random.nextInt(3) * 1000;
                        QuotaTolerance tolerance =
                                new QuotaTolerance(
                                        Duration.ofSeconds(1 + random.nextInt(20)),
                                        random.nextInt(3) * 0.1,
                                        slack);
                        Quota quota = new Quota(QuotaUnit.TOKENS, rate, burst, 1);
                        QuotaPlan plan = QuotaPlan.of(quota, Optional.of(tolerance));
                        double window = tolerance.window().toSeconds();
                        double limit = (rate * window + burst) * (1 + tolerance.overage()) + slack;
                        double most =
                                plan.burst() + plan.rate() * (window + TIMES) + plan.advance();
                        assertTrue(most <= limit * (1 + 1e-9), quota + " " + tolerance);
                        assertTrue(plan.burst() >= plan.rate() * 0.399, quota + " " + tolerance);
                    }
                });
    }

    /** Guards against advances on a platform that states no tolerance. */
    @Test
    void withoutToleranceNothingIsAdvanced() {
        Quota quota = new Quota(QuotaUnit.REQUESTS, 10, 5, 1);
        assertEquals(new QuotaPlan(10, 5, 0), QuotaPlan.of(quota, Optional.empty()));
    }
}
