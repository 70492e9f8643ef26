package org.tarragonlug.decision.account;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.tarragonlug.id.AccountName;

class AccountDirectoryTest {
    static KeyDigest digest(int value) {
        byte[] bytes = new byte[KeyDigest.BYTES];
        bytes[0] = (byte) (value >> 8);
        bytes[KeyDigest.BYTES - 1] = (byte) value;
        return new KeyDigest(bytes);
    }

    static ClientAccount account(String name, Integer... digests) {
        Set<KeyDigest> set =
                Set.copyOf(List.of(digests).stream().map(AccountDirectoryTest::digest).toList());
        return new ClientAccount(new AccountName(name), set, OptionalInt.empty(), Optional.empty());
    }

    static AccountDirectory directory(ClientAccount... accounts) {
        return new AccountDirectory(List.of(accounts));
    }

    @Nested
    class Digests {
        // Guards against logs and states that show enough of a digest to be used in place of it.
        @Test
        void textShowsOnlyTheBeginning() {
            KeyDigest digest = KeyDigest.parse("0123456789abcdef".repeat(4));
            assertEquals("01234567...", digest.toString());
            assertFalse(account("a", 1).toString().contains(digest(1).toHex()));
        }

        @Test
        void digestsThatDifferInAnyByteAreNotEqual() {
            for (int index = 0; index < KeyDigest.BYTES; index++) {
                byte[] bytes = new byte[KeyDigest.BYTES];
                bytes[index] = 1;
                assertNotEquals(new KeyDigest(new byte[KeyDigest.BYTES]), new KeyDigest(bytes));
                assertEquals(new KeyDigest(bytes), KeyDigest.parse(new KeyDigest(bytes).toHex()));
            }
        }

        @Test
        void malformedDigestIsNotQuoted() {
            for (String text : List.of("secret", "0123", "", "x".repeat(64))) {
                IllegalArgumentException failure =
                        assertThrows(IllegalArgumentException.class, () -> KeyDigest.parse(text));
                assertTrue(text.isEmpty() || !failure.getMessage().contains(text));
            }
        }
    }

    @Nested
    class Directory {
        @Test
        void findsTheAccountOfEachDigest() {
            AccountDirectory directory = directory(account("a", 1, 2), account("b", 3));
            assertEquals("a", directory.find(digest(2)).orElseThrow().name().value());
            assertEquals("b", directory.find(digest(3)).orElseThrow().name().value());
            assertTrue(directory.find(digest(4)).isEmpty());
        }

        // Guards against instances that attribute a request to different accounts.
        @Test
        void keyOfTwoAccountsBelongsToTheFirst() {
            assertEquals(
                    "b",
                    directory(account("b", 1), account("a", 1))
                            .find(digest(1))
                            .orElseThrow()
                            .name()
                            .value());
        }

        @Test
        void nameMustBeUnique() {
            assertThrows(
                    IllegalArgumentException.class,
                    () -> directory(account("a", 1), account("a", 2)));
        }
    }
}
