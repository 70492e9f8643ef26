/**
 * Decisions on which backend servers hold which models and adapters, for engines that take orders
 * one at a time.
 */
package org.tarragonlug.decision.placement;
