package org.tarragonlug.decision.placement;

import java.time.Duration;
import org.tarragonlug.id.ModelKey;
import org.tarragonlug.id.ServiceName;

/**
 * Demand for one model at one instance since its last report.
 *
 * @param service the service
 * @param key the model
 * @param arrivals requests since the last report
 * @param waiting requests that wait for it now
 * @param priority of the most urgent waiting request, 0 first
 * @param target how long an answer that begins is still in time; negative if it is late already
 * @param patience how long the most impatient waiting request still waits
 */
public record ModelDemand(
        ServiceName service,
        ModelKey key,
        int arrivals,
        int waiting,
        int priority,
        Duration target,
        Duration patience) {}
