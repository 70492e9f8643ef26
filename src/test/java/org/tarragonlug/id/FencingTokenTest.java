package org.tarragonlug.id;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class FencingTokenTest {
    @Nested
    class FirstOfEra {
        // Guards against a token that is given out again after the store has lost the last ones.
        @Test
        void isAboveAMillionTokensOfTheEraBefore() {
            for (long era = 1; era < 1L << 31; era = era * 3 + 1) {
                long last = FencingToken.firstOf(new StoreEra(era)).value() + 1_000_000;
                long next = FencingToken.firstOf(new StoreEra(era + 1)).value();
                assertTrue(next > last, "era " + era);
            }
        }

        // Guards against a token that is not exact, or negative, in an era of any size.
        @Test
        void neverDecreasesNorOverflows() {
            long before = 0;
            for (int bit = 0; bit <= 62; bit++) {
                long token = FencingToken.firstOf(new StoreEra(1L << bit)).value();
                assertTrue(token >= before && token <= 1L << 53, "era 2^" + bit + ": " + token);
                before = token;
            }
        }

        // Guards against tokens that change in a store without eras.
        @Test
        void isTheLowestWithoutEras() {
            assertEquals(FencingToken.NONE, FencingToken.firstOf(StoreEra.NONE));
        }
    }
}
