package org.tarragonlug.id;

/**
 * A point in the history of a store. Revisions of different eras number different histories, so
 * positions are ordered only within an era.
 *
 * @param era the era in which the store gave out the revision
 * @param revision the revision, zero or more; zero is before the first change
 */
public record StorePosition(StoreEra era, long revision) {
    /** The position before the first change of a store without eras. */
    public static final StorePosition START = new StorePosition(StoreEra.NONE, 0);

    /** Returns the position in a store that states no era. */
    public static StorePosition of(long revision) {
        return new StorePosition(StoreEra.NONE, revision);
    }

    /** Returns whether this position is in the same era as the other one and after it. */
    public boolean isAfter(StorePosition other) {
        return era.equals(other.era) && revision > other.revision;
    }

    @Override
    public String toString() {
        return era.isStated() ? era + "/" + revision : Long.toString(revision);
    }
}
