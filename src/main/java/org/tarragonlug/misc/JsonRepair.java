package org.tarragonlug.misc;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/**
 * Replaces what the JSON parser refuses for its size by {@code null}, so that one value of a
 * foreign writer does not make the whole document unreadable.
 *
 * <p>Values that are nested too deeply and numbers with too many characters are replaced, and bytes
 * that are not UTF-8 by a replacement character. The text is scanned once, without recursion and
 * without a record of the open brackets, so that the depth costs no memory. Text that is not JSON
 * stays so.
 */
final class JsonRepair {
    private static final byte[] NULL = "null".getBytes(StandardCharsets.US_ASCII);

    private final int maximumDepth;
    private final int maximumNumberLength;
    private final ByteArrayOutputStream output;
    private byte[] input;
    private int position;
    private int depth;

    private JsonRepair(byte[] input, int maximumDepth, int maximumNumberLength) {
        this.input = input;
        this.maximumDepth = maximumDepth;
        this.maximumNumberLength = maximumNumberLength;
        this.output = new ByteArrayOutputStream(input.length);
    }

    /**
     * Returns a repaired copy of a document.
     *
     * @param document JSON text
     * @param maximumDepth number of nested arrays and objects that are kept
     * @param maximumNumberLength number of characters of a number that is kept
     */
    static byte[] repair(byte[] document, int maximumDepth, int maximumNumberLength) {
        byte[] decoded =
                new String(document, StandardCharsets.UTF_8).getBytes(StandardCharsets.UTF_8);
        return new JsonRepair(decoded, maximumDepth, maximumNumberLength).copy();
    }

    private byte[] copy() {
        while (position < input.length) {
            byte next = input[position];
            if (next == '"') {
                copyString();
            } else if (isNumberCharacter(next)) {
                copyNumber();
            } else {
                copyCharacter(next);
            }
        }
        return output.toByteArray();
    }

    private void copyString() {
        int start = position;
        position++;
        while (position < input.length && input[position] != '"') {
            position += input[position] == '\\' ? 2 : 1;
        }
        position = Math.min(position + 1, input.length);
        write(input, start, position);
    }

    private void copyNumber() {
        int start = position;
        while (position < input.length && isNumberCharacter(input[position])) {
            position++;
        }
        if (position - start <= maximumNumberLength) {
            write(input, start, position);
        } else {
            write(NULL, 0, NULL.length);
        }
    }

    /** Returns whether a byte outside of strings may belong to a number, or to a literal. */
    private static boolean isNumberCharacter(byte character) {
        return character >= '0' && character <= '9'
                || character == '-'
                || character == '+'
                || character == '.'
                || character == 'e'
                || character == 'E';
    }

    private void copyCharacter(byte character) {
        position++;
        boolean opens = character == '[' || character == '{';
        boolean closes = character == ']' || character == '}';
        if (opens) {
            depth++;
            if (depth == maximumDepth + 1) {
                // The bracket's value lies in an array or object that is kept.
                output.write(NULL, 0, NULL.length);
            }
        }
        if (depth <= maximumDepth) {
            output.write(character);
        }
        if (closes) {
            depth--;
        }
    }

    private void write(byte[] bytes, int start, int end) {
        if (depth <= maximumDepth) {
            output.write(bytes, start, end - start);
        }
    }
}
