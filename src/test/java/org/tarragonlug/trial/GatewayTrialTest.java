package org.tarragonlug.trial;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class GatewayTrialTest {
    @Nested
    class Requests {
        /** The archive of classes that the build makes lacks what the trial does not reach. */
        @Test
        void answersRequestOfEachKind() throws Exception {
            List<String> steps = new ArrayList<>();
            assertTrue(new GatewayTrial(steps::add).run(), () -> String.join(", ", steps));
        }
    }
}
