package org.tarragonlug.error;

import java.util.Arrays;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.tarragonlug.Approved;

/**
 * Guards against unintended changes of the codes, statuses and messages, on which callers rely. The
 * approved file lists all of them.
 */
class ErrorCodeTest {
    @Test
    void codesWithStatusesAndRemedies() {
        Approved.verify(
                Arrays.stream(ErrorCode.values())
                        .map(code -> code.status() + " " + code.code() + ": " + code.message("…"))
                        .collect(Collectors.joining("\n", "", "\n")));
    }
}
