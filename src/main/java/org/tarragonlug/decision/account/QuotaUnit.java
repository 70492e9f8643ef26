package org.tarragonlug.decision.account;

/** What a quota counts. */
public enum QuotaUnit {
    /** Every request costs 1. */
    REQUESTS {
        @Override
        public long cost(int promptTokens, int outputTokens, long defaultCost) {
            return 1;
        }
    },

    /** A request costs the tokens of its prompt and the tokens that it may generate. */
    TOKENS {
        @Override
        public long cost(int promptTokens, int outputTokens, long defaultCost) {
            long tokens = (long) promptTokens + outputTokens;
            return tokens > 0 ? tokens : defaultCost;
        }
    };

    /**
     * Returns what a request costs.
     *
     * @param promptTokens length of the prompt in tokens; 0 if not stated
     * @param outputTokens maximum number of tokens to generate; 0 if not stated
     * @param defaultCost cost of a request that states no tokens
     * @return the cost in this unit
     */
    public abstract long cost(int promptTokens, int outputTokens, long defaultCost);
}
