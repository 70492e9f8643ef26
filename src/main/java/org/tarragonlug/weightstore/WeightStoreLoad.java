package org.tarragonlug.weightstore;

/**
 * The load of the weight store.
 *
 * @param activeLoads number of loads in progress
 * @param loadsPerSecond number of loads that were started in the last second
 * @param slow whether the store reports that it is slower than usual
 */
public record WeightStoreLoad(int activeLoads, double loadsPerSecond, boolean slow) {}
