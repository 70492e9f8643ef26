/**
 * Decides which backend servers hold which models and adapters, for model engines that carry out
 * one order at a time.
 */
package org.tarragonlug.decision.placement;
