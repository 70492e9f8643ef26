package org.tarragonlug.standin;

/** Whether engines check fencing numbers. */
public enum EngineFencing {
    /** An order with a lower number than one seen before for the artifact is refused. */
    CHECKED {
        @Override
        boolean rejects(long fence, long highestSeen) {
            return fence < highestSeen;
        }
    },
    /** The number is ignored. */
    IGNORED {
        @Override
        boolean rejects(long fence, long highestSeen) {
            return false;
        }
    };

    abstract boolean rejects(long token, long highestSeen);
}
