package org.tarragonlug.error;

import java.util.Arrays;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.tarragonlug.Approved;

/** Guards against an unnoticed change of codes, statuses and remedies, which callers rely on. */
class ErrorCodeTest {
    @Test
    void codesWithStatusesAndRemedies() {
        Approved.verify(
                Arrays.stream(ErrorCode.values())
                        .map(code -> code.status() + " " + code.code() + ": " + code.message("…"))
                        .collect(Collectors.joining("\n", "", "\n")));
    }
}
