package org.tarragonlug.decision.account;

import java.util.HexFormat;

/**
 * The SHA-256 digest of an account's key, which takes the place of the key in this process.
 *
 * <p>Digests are compared without a branch that depends on their content, so the time of a
 * comparison says nothing about it. Keys have too many possible values to be found by trying, so
 * the digest needs no salt.
 */
public final class KeyDigest {
    /** Length of a digest in bytes. */
    public static final int BYTES = 32;

    /** Length of the part that {@link #toString} shows, in bytes; too short to stand for a key. */
    private static final int SHOWN_BYTES = 4;

    private static final int BITS_PER_BYTE = 8;

    private final byte[] bytes;

    /**
     * Creates a digest.
     *
     * @param bytes the {@value #BYTES} bytes of the digest
     * @throws IllegalArgumentException if the length is another one
     */
    public KeyDigest(byte[] bytes) {
        if (bytes.length != BYTES) {
            throw new IllegalArgumentException(
                    "a key digest must have "
                            + BYTES
                            + " bytes; use the SHA-256 digest of the key");
        }
        this.bytes = bytes.clone();
    }

    /**
     * Parses the text form of a digest.
     *
     * @param text hexadecimal digits
     * @throws IllegalArgumentException if the text is no digest; the message does not quote it
     */
    public static KeyDigest parse(String text) {
        byte[] bytes;
        try {
            bytes = HexFormat.of().parseHex(text);
        } catch (IllegalArgumentException notHexadecimal) {
            // The message of the parser is not used, because it may quote the text.
            throw new IllegalArgumentException(
                    "a key digest must consist of hexadecimal digits;"
                            + " use the SHA-256 digest of the key");
        }
        return new KeyDigest(bytes);
    }

    /** Returns the complete digest in hexadecimal digits, for the exchange between instances. */
    public String toHex() {
        return HexFormat.of().formatHex(bytes);
    }

    @Override
    public boolean equals(Object other) {
        if (!(other instanceof KeyDigest)) {
            return false;
        }
        byte[] otherBytes = ((KeyDigest) other).bytes;
        int difference = 0;
        for (int index = 0; index < BYTES; index++) {
            difference |= bytes[index] ^ otherBytes[index];
        }
        return difference == 0;
    }

    @Override
    public int hashCode() {
        int hash = 0;
        for (int index = 0; index < Integer.BYTES; index++) {
            hash = hash << BITS_PER_BYTE | Byte.toUnsignedInt(bytes[index]);
        }
        return hash;
    }

    /** Returns the beginning of the digest, for logs and state. */
    @Override
    public String toString() {
        return HexFormat.of().formatHex(bytes, 0, SHOWN_BYTES) + "...";
    }
}
