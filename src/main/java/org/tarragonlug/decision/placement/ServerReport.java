package org.tarragonlug.decision.placement;

import java.util.Map;
import java.util.Set;

/**
 * What a server says when asked; it may be some hundred milliseconds old.
 *
 * @param models models that it holds, each with its adapters, with those still arriving
 * @param busy whether an order is in progress
 * @param orderCount orders accepted since its start
 */
public record ServerReport(Map<String, Set<String>> models, boolean busy, long orderCount) {}
