package org.tarragonlug.tool;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

/** Guards against a failed process that reads as stopped on purpose and is not replaced. */
class RunCommandTest {
    /** The shutdown hook ended every process with status 0. */
    @Test
    void exitStatusAfterStopDistinguishesFailureFromSignal() {
        CompletableFuture<Integer> failed = CompletableFuture.completedFuture(ExitStatus.FAILURE);
        assertEquals(ExitStatus.FAILURE, RunCommand.exitStatusAfterStop(failed));
        assertEquals(ExitStatus.SUCCESS, RunCommand.exitStatusAfterStop(new CompletableFuture<>()));
    }
}
