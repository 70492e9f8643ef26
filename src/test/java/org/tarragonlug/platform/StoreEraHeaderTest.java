package org.tarragonlug.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.tarragonlug.http.HttpAnswer;
import org.tarragonlug.id.StoreEra;

class StoreEraHeaderTest {
    private final List<String> unreadable = new ArrayList<>();
    private final StoreEraHeader header = new StoreEraHeader(unreadable::add);

    private StoreEra read(Map<String, String> headers) {
        return header.read(new HttpAnswer(200, headers, new byte[0]));
    }

    @Test
    void numberIsRead() {
        assertEquals(new StoreEra(5), read(Map.of("store-era", " 5 ")));
        assertEquals(List.of(), unreadable);
    }

    /** Guards against a warning about each answer of a store without eras. */
    @Test
    void missingHeaderIsNoFault() {
        assertEquals(StoreEra.NONE, read(Map.of()));
        assertEquals(List.of(), unreadable);
    }

    /** Guards against an unreadable era that stops an instance, or that nobody is told of. */
    @ParameterizedTest
    @ValueSource(strings = {"", "five", "-1", "5, 5", "1e3", "99999999999999999999"})
    void whatIsNoNumberIsReported(String value) {
        assertEquals(StoreEra.NONE, read(Map.of("store-era", value)));
        assertEquals(List.of(value), unreadable);
    }
}
