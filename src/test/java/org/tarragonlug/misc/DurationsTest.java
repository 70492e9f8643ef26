package org.tarragonlug.misc;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;

/** Guards against durations that are parsed with another unit or value than the operator wrote. */
class DurationsTest {
    @Test
    void parsesEachUnit() {
        assertEquals(Optional.of(Duration.ofMillis(500)), Durations.parse("500ms"));
        assertEquals(Optional.of(Duration.ofSeconds(30)), Durations.parse("30s"));
        assertEquals(Optional.of(Duration.ofMinutes(5)), Durations.parse("5m"));
        assertEquals(Optional.of(Duration.ofHours(2)), Durations.parse("2h"));
    }

    @Test
    void returnsEmptyForMalformedText() {
        for (String text :
                List.of(
                        "",
                        "5",
                        "s",
                        "-5s",
                        "1.5s",
                        "5 s",
                        "5S",
                        "5d",
                        "5s\n",
                        "٣s",
                        "1".repeat(13) + "s")) {
            assertEquals(Optional.empty(), Durations.parse(text), text);
        }
    }

    @Property
    void writtenDurationIsParsedBackExactly(
            @ForAll @LongRange(min = 0, max = 999_999_999_999L) long millis) {
        Duration duration = Duration.ofMillis(millis);
        assertEquals(Optional.of(duration), Durations.parse(Durations.text(duration)));
    }
}
