package org.tarragonlug.http;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.regex.Pattern;

/**
 * The complete head of an answer, read before the HTTP library decodes it.
 *
 * <p>It is used only to recognise and to skip answers to other calls. Whatever it takes for the
 * answer to the call in progress is decoded and checked again.
 */
final class AnswerHead {
    /** The beginning of a head. A head that contains it once more counts as two joined ones. */
    static final String BEGINNING = "HTTP/1.";

    private static final int LOWEST_FINAL_STATUS = 200;
    private static final int HIGHEST_FINAL_STATUS = 599;
    private static final Pattern STATUS = Pattern.compile("[0-9]{3}");

    private final List<String> lines;

    AnswerHead(ByteBuf bytes) {
        lines = Arrays.asList(bytes.toString(StandardCharsets.ISO_8859_1).split("\r?\n"));
    }

    /** Returns whether the bytes are the beginning of a head, as far as they go. */
    static boolean mayBegin(ByteBuf bytes) {
        int length = Math.min(BEGINNING.length(), bytes.readableBytes());
        String text = bytes.toString(bytes.readerIndex(), length, StandardCharsets.ISO_8859_1);
        return BEGINNING.startsWith(text);
    }

    /** Returns whether HTTP defines the status as that of a final answer. */
    static boolean isFinal(int status) {
        return status >= LOWEST_FINAL_STATUS && status <= HIGHEST_FINAL_STATUS;
    }

    /** Returns the status; 0 if it cannot be read. */
    int status() {
        String[] words = lines.get(0).split(" ");
        boolean readable = words.length > 1 && STATUS.matcher(words[1]).matches();
        return readable ? Integer.parseInt(words[1]) : 0;
    }

    /**
     * Returns whether this is the head of a final answer, neither of an interim one nor of none.
     */
    boolean isFinal() {
        return isFinal(status());
    }

    /** Returns the distinct values of a header. */
    List<String> values(String header) {
        String beginning = header + ":";
        return lines.stream()
                .filter(line -> line.regionMatches(true, 0, beginning, 0, beginning.length()))
                .map(line -> line.substring(beginning.length()).strip())
                .distinct()
                .toList();
    }

    /** Returns the values of a header, separated by commas; empty if it is absent. */
    String value(String header) {
        return String.join(",", values(header));
    }
}
