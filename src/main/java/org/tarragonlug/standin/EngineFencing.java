package org.tarragonlug.standin;

/** Whether engines check the fencing tokens of orders. */
public enum EngineFencing {
    /** Engines reject an order whose token is lower than the highest one seen for its artifact. */
    CHECKED {
        @Override
        boolean rejects(long token, long highestSeen) {
            return token < highestSeen;
        }
    },
    /** Engines ignore the token. */
    IGNORED {
        @Override
        boolean rejects(long token, long highestSeen) {
            return false;
        }
    };

    abstract boolean rejects(long token, long highestSeen);
}
