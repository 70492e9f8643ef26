package org.tarragonlug.platform;

import java.util.function.Consumer;
import java.util.regex.Pattern;
import org.tarragonlug.http.HttpAnswer;
import org.tarragonlug.id.StoreEra;

/** Reads the era that the platform's store states in its answers. */
final class StoreEraHeader {
    private static final String NAME = "store-era";

    /** A number that fits into 63 bits. */
    private static final Pattern NUMBER = Pattern.compile("[0-9]{1,18}");

    private final Consumer<String> onUnreadable;

    /**
     * Creates a reader.
     *
     * @param onUnreadable called with the value of each header that is no number
     */
    StoreEraHeader(Consumer<String> onUnreadable) {
        this.onUnreadable = onUnreadable;
    }

    /** Returns the era of an answer; {@link StoreEra#NONE} if it states none, or no number. */
    StoreEra read(HttpAnswer answer) {
        String stated = answer.headers().get(NAME);
        if (stated == null) {
            return StoreEra.NONE;
        }
        String text = stated.strip();
        if (NUMBER.matcher(text).matches()) {
            return new StoreEra(Long.parseLong(text));
        }
        onUnreadable.accept(text);
        return StoreEra.NONE;
    }
}
