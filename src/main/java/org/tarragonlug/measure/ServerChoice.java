package org.tarragonlug.measure;

/** Rules by which the instances of a simulation choose a server. */
enum ServerChoice {
    /** The lowest cost that the instance knows; equal costs fall on the first server. */
    LOWEST_KNOWN_COST(false, true, false, Pace.UNKNOWN, 0),
    /** {@code ServerSelector}, which knows only what the answers to the instance's requests say. */
    SELECTOR_ALONE(true, true, false, Pace.UNKNOWN, 0),
    /**
     * {@code ServerSelector} with the totals of all instances, which are exchanged periodically.
     */
    SELECTOR_WITH_TOTALS(true, true, true, Pace.UNKNOWN, 0),
    /** As before the pace was decoded: a load that states it was dropped as malformed. */
    TOTALS_ONLY(true, false, true, Pace.UNKNOWN, 0),
    /** With the pace that the answers to the instance's own requests state. */
    STATED_PACE(true, true, true, Pace.STATED, 0),
    /** The pace is also learnt from the times of the instance's own answers. */
    LEARNT_PACE(true, true, true, Pace.LEARNT, 0),
    /** As shipped: stated and learnt paces are also exchanged with the totals. */
    EXCHANGED_PACE(true, true, true, Pace.EXCHANGED, 0),
    /** Trial: the best server is asked for its load and pace before each request. */
    ASKING_ONE(true, true, true, Pace.LEARNT, 1),
    /** Trial: the two best servers are asked for their load and pace before each request. */
    ASKING_TWO(true, true, true, Pace.LEARNT, 2),
    /** The shortest expected time at the moment of the choice, which no instance can know. */
    OMNISCIENT(false, true, false, Pace.UNKNOWN, 0);

    /** What instances know of the pace of servers. */
    enum Pace {
        UNKNOWN,
        STATED,
        LEARNT,
        EXCHANGED
    }

    private final boolean usesSelector;
    private final boolean readsLoad;
    private final boolean exchangesTotals;
    private final Pace pace;
    private final int asked;

    ServerChoice(
            boolean usesSelector,
            boolean readsLoad,
            boolean exchangesTotals,
            Pace pace,
            int asked) {
        this.usesSelector = usesSelector;
        this.readsLoad = readsLoad;
        this.exchangesTotals = exchangesTotals;
        this.pace = pace;
        this.asked = asked;
    }

    boolean usesSelector() {
        return usesSelector;
    }

    /** Tells whether the load that a server states with an answer is used. */
    boolean readsLoad() {
        return readsLoad;
    }

    boolean exchangesTotals() {
        return exchangesTotals;
    }

    /** Tells whether the instances know at least as much of the pace as this. */
    boolean knows(Pace least) {
        return pace.compareTo(least) >= 0;
    }

    /** Returns how many servers are asked for their load and pace before each request. */
    int asked() {
        return asked;
    }
}
