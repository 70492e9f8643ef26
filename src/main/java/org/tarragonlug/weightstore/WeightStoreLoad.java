package org.tarragonlug.weightstore;

/**
 * How busy the weight store is.
 *
 * @param activeLoads loads in progress
 * @param loadsPerSecond loads started in the last second
 * @param slow whether the store says it is slower than usual
 */
public record WeightStoreLoad(int activeLoads, double loadsPerSecond, boolean slow) {}
