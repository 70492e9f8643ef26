package org.tarragonlug.runtime;

import java.util.Arrays;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.tarragonlug.Approved;

/** Guards against an unnoticed change of log events, on which operators' alerts match. */
class LogEventTest {
    @Test
    void eventNamesAndLevelsMatchApprovedList() {
        Approved.verify(
                Arrays.stream(LogEvent.values())
                        .map(event -> event.level() + " " + event.eventName())
                        .collect(Collectors.joining("\n", "", "\n")));
    }
}
