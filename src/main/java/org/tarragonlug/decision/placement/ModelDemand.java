package org.tarragonlug.decision.placement;

import java.time.Duration;
import org.tarragonlug.id.ModelKey;
import org.tarragonlug.id.ServiceName;

/**
 * The demand for one model at one instance since the instance's last report.
 *
 * @param service the service
 * @param key the model, or the model and adapter
 * @param arrivals number of requests that arrived since the last report
 * @param waiting number of requests that are waiting at present
 * @param priority priority of the most urgent waiting request; 0 is the most urgent
 * @param target time left for an answer to begin and still meet its target latency; negative if the
 *     target is already missed
 * @param patience time until the first waiting request stops waiting
 */
public record ModelDemand(
        ServiceName service,
        ModelKey key,
        int arrivals,
        int waiting,
        int priority,
        Duration target,
        Duration patience) {}
