package org.tarragonlug.measure;

/** Rules by which the instances of a simulation choose a server. */
enum ServerChoice {
    /** The lowest cost that the instance knows; equal costs fall on the first server. */
    LOWEST_KNOWN_COST(false, false),
    /** {@code ServerSelector}, which knows only what the answers to the instance's requests say. */
    SELECTOR_ALONE(true, false),
    /**
     * {@code ServerSelector} with the totals of all instances, which are exchanged periodically.
     */
    SELECTOR_WITH_TOTALS(true, true),
    /** The shortest queue at the moment of the choice, which no instance can know. */
    OMNISCIENT(false, false);

    private final boolean usesSelector;
    private final boolean exchangesTotals;

    ServerChoice(boolean usesSelector, boolean exchangesTotals) {
        this.usesSelector = usesSelector;
        this.exchangesTotals = exchangesTotals;
    }

    boolean usesSelector() {
        return usesSelector;
    }

    boolean exchangesTotals() {
        return exchangesTotals;
    }
}
