package org.tarragonlug.tool;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

/** Guards against a failed process that reads as stopped on purpose and is not replaced. */
class RunCommandTest {
    /** The shutdown hook ended every process with status 0. */
    @Test
    void statusAfterStopTellsFailureFromSignal() {
        CompletableFuture<Integer> failed = CompletableFuture.completedFuture(ExitStatus.FAILED);
        assertEquals(ExitStatus.FAILED, RunCommand.statusAfterStop(failed));
        assertEquals(ExitStatus.GOOD, RunCommand.statusAfterStop(new CompletableFuture<>()));
    }
}
