package org.tarragonlug.instance;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * Computes SHA-256 hashes as hexadecimal text. A short hash is not sufficient, because two
 * different requests with the same hash would be treated as the same request.
 */
final class Sha256 {
    private Sha256() {}

    static String of(byte[] bytes) {
        try {
            return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(bytes));
        } catch (NoSuchAlgorithmException impossible) {
            throw new IllegalStateException("every Java platform has SHA-256", impossible);
        }
    }

    static String of(String text) {
        return of(text.getBytes(StandardCharsets.UTF_8));
    }
}
