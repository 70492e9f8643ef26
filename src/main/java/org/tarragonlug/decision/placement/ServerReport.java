package org.tarragonlug.decision.placement;

import java.util.Map;
import java.util.Set;

/**
 * A report that a server returns on request; it may be some hundred milliseconds old.
 *
 * @param models loaded models, each with its adapters, including adapters that are being loaded
 * @param busy whether an order is in progress
 * @param orderCount number of orders that the server has accepted since its start
 */
public record ServerReport(Map<String, Set<String>> models, boolean busy, long orderCount) {}
