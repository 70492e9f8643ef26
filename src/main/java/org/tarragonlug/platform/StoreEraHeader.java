package org.tarragonlug.platform;

import java.util.regex.Pattern;
import org.tarragonlug.http.HttpAnswer;
import org.tarragonlug.id.StoreEra;

/** Reads the era that the platform's store states in its answers. */
final class StoreEraHeader {
    private static final String NAME = "store-era";

    /** A number that fits into 63 bits. */
    private static final Pattern NUMBER = Pattern.compile("[0-9]{1,18}");

    private StoreEraHeader() {}

    /** Returns the era of an answer; {@link StoreEra#NONE} if it states none, or no number. */
    static StoreEra read(HttpAnswer answer) {
        String text = answer.headers().getOrDefault(NAME, "").strip();
        return NUMBER.matcher(text).matches() ? new StoreEra(Long.parseLong(text)) : StoreEra.NONE;
    }
}
