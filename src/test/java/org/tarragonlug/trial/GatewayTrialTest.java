package org.tarragonlug.trial;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class GatewayTrialTest {
    @Nested
    class Requests {
        /**
         * The build runs this trial to create the class data archive. Classes of a kind of request
         * that fails in the trial would be missing from the archive, and starts would be slower.
         */
        @Test
        void answersRequestOfEachKind() throws Exception {
            List<String> steps = new ArrayList<>();
            assertTrue(new GatewayTrial(steps::add).run(), () -> String.join(", ", steps));
        }
    }
}
