package org.tarragonlug.explain;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.StringReader;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against explanations that miss or misread what the lines of a log show. */
class RequestExplanationTest {
    private static final String REFUSED =
            "time=2026-12-06T10:00:00.100Z level=INFO event=forward_ended instance=a request=r1"
                    + " outcome=refused_turned_away status=503 server=s2 not_run=rejected sends=";

    private final RequestExplanation explanation = new RequestExplanation("r1");

    private List<String> explain(String... logs) throws IOException {
        for (String log : logs) {
            explanation.read(new StringReader(log));
        }
        List<String> printed = new ArrayList<>();
        explanation.print(printed::add);
        return printed;
    }

    private static List<String> conclusions(List<String> printed) {
        return printed.subList(printed.indexOf("shown by these lines") + 1, printed.size()).stream()
                .filter(line -> line.startsWith("  "))
                .map(line -> line.strip().split(":")[0])
                .toList();
    }

    @Nested
    class Reading {
        // Guards against lines of several instances that are shown in the order of the files.
        @Test
        void linesOfAllInstancesAreSortedByTime() throws IOException {
            String later =
                    "time=2026-12-06T10:00:02Z event=forward_ended instance=b request=r1"
                            + " outcome=answered status=200";
            String earlier =
                    "time=2026-12-06T10:00:01Z event=forward_ended instance=a request=r1"
                            + " outcome=refused_no_server status=503 not_run=never_sent";
            List<String> printed = explain(later, earlier);
            assertEquals(List.of("  " + earlier, "  " + later), printed.subList(1, 3));
            assertEquals(List.of("NEVER_SENT", "ANSWERED", "CAME_BACK"), conclusions(printed));
        }

        // Guards against a damaged log of which nothing is shown.
        @Test
        void linesThatAreNoRecordsAreCounted() throws IOException {
            String log =
                    "\tat java.lang.Thread.run\nevent=forward_ended instance=a request=r1"
                            + " outcome=answered status=200 took_ms\n\nrequest=r1 event\n";
            List<String> printed = explain(log);
            assertEquals(List.of("ANSWERED"), conclusions(printed));
            assertEquals(
                    "2 lines could not be read and were skipped", printed.get(printed.size() - 1));
        }

        // Guards against a value that forges a field of its line.
        @Test
        void quotedValuesAreOneValue() {
            String line = "event=x instance=a detail=\"a \\\"b\\\" status=503\\nc\\u202e\" n=1";
            LogRecord record = new LogRecordParser().parse(line).orElseThrow();
            assertEquals("a \"b\" status=503\nc\u202e", record.field("detail"));
            assertEquals(0, record.status());
            assertEquals("1", record.field("n"));
        }

        // Guards against a stack overflow in the parser on a very long quoted value.
        @Test
        void longValuesAreRead() {
            String value = "x\\\"".repeat(200_000);
            String line = "event=x detail=\"" + value + "\" n=1";
            LogRecord record = new LogRecordParser().parse(line).orElseThrow();
            assertEquals("x\"".repeat(200_000), record.field("detail"));
            assertEquals("1", record.field("n"));
        }

        // Guards against a refusal that looks like a wrong configuration after the store stepped
        // back.
        @Test
        void returnOfTheStoreIsShownAroundTheRequest() throws IOException {
            String restored =
                    "time=2026-12-06T10:00:00Z event=store_restored instance=a era_before=4 era=5";
            String older = "time=2026-12-06T10:00:00.050Z event=configuration_older instance=a";
            assertTrue(
                    explain(REFUSED, older, restored)
                            .containsAll(List.of("  " + restored, "  " + older)));
        }

        // Guards against an answer for another request whose id begins alike.
        @Test
        void otherRequestsAreNotShown() throws IOException {
            List<String> printed = explain("event=forward_ended instance=a request=r11");
            assertEquals(List.of("NOT_FOUND"), conclusions(printed));
            assertFalse(explanation.print(line -> {}));
        }
    }

    @Nested
    class Conclusions {
        // Guards against a false promise that is explained as the rejection of the servers.
        @Test
        void lateAnswerAfterRefusalShowsARun() throws IOException {
            String late =
                    "\ntime=2026-12-06T10:00:00.2Z event=forward_answer_skipped instance=a"
                            + " request=r2 answers=r1 status=200";
            List<String> printed = explain(REFUSED + "s2@1:1/9+3/BUSY/5ms" + late);
            assertEquals(List.of("RAN_THOUGH_REFUSED", "REJECTED"), conclusions(printed));
        }

        // Guards against the copy of a rejection that is taken for a run.
        @Test
        void lateCopyOfTheRejectionShowsNoRun() throws IOException {
            String late =
                    "\ntime=2026-12-06T10:00:00.2Z event=forward_answer_late instance=a request=r1"
                            + " status=503 connection=9";
            List<String> printed = explain(REFUSED + "s2@1:1/9+3/BUSY/5ms" + late);
            assertEquals(List.of("REJECTED"), conclusions(printed));
        }

        // Guards against two sends on one connection that are not noticed, also over two arrivals.
        @Test
        void repeatedConnectionIsNoticed() throws IOException {
            String once = REFUSED + "s1@h:1/9+3/WRONG_SERVER/5ms,s2@h:1/9+4/MODEL_ABSENT/63ms";
            assertTrue(conclusions(explain(once)).contains("REJECTION_MAY_BE_A_COPY"));
        }

        @Test
        void repeatedConnectionOfAReturnIsNoticed() throws IOException {
            String log = REFUSED + "s1@h:1/9+3/BUSY/5ms\n" + REFUSED + "s1@h:1/9+5/BUSY/63ms";
            assertEquals(
                    List.of("REJECTION_MAY_BE_A_COPY", "REJECTED", "CAME_BACK"),
                    conclusions(explain(log)));
        }

        // Guards against the port of a later connection that is taken for the same connection, and
        // against the sends without a connection, which all have port 0.
        @Test
        void newConnectionWithTheSamePortIsNoRepetition() throws IOException {
            String port = REFUSED + "s1@h:1/9+3/BUSY/5ms,s2@h:1/9+0/BUSY/63ms\n";
            String none = REFUSED + "s1@h:1/0+0/UNREACHABLE/5ms,s2@h:1/0+0/UNREACHABLE/6ms";
            assertEquals(List.of("REJECTED", "CAME_BACK"), conclusions(explain(port + none)));
        }

        // Guards against lines of an earlier release, and of unknown routes, that show nothing.
        @Test
        void refusalsWithoutGroundAreNamed() throws IOException {
            String earlier =
                    "event=forward_ended instance=a request=r1 outcome=refused_turned_away"
                            + " status=503 server=s2 attempts=2\n";
            String route =
                    "event=forward_ended instance=a request=r1 outcome=refused_no_route status=404";
            assertEquals(
                    List.of("GROUND_UNKNOWN", "NOT_ADMITTED", "CAME_BACK"),
                    conclusions(explain(earlier + route)));
        }

        // Guards against a request that a stop cut, explained as if its server alone were to blame.
        @Test
        void failureDuringAStopIsNamed() throws IOException {
            String failed =
                    "event=forward_ended instance=a request=r1 outcome=failed_server_lost"
                            + " status=502 server=s2 attempts=2 stopping=true";
            assertEquals(List.of("SERVER_LOST", "ENDED_BY_A_STOP"), conclusions(explain(failed)));
        }

        // Guards against each request of a stop that is explained as cut by it.
        @Test
        void answerDuringAStopIsNoFailure() throws IOException {
            String answered =
                    "event=forward_ended instance=a request=r1 outcome=answered status=200"
                            + " stopping=true";
            assertEquals(List.of("ANSWERED"), conclusions(explain(answered)));
        }

        // Guards against a log that is cut short and read as that of a request without faults.
        @Test
        void missingEndIsNoticed() throws IOException {
            String log =
                    "time=2026-12-06T10:00:01Z event=forward_sent instance=a request=r1 server=s1\n"
                            + "time=2026-12-06T10:00:01.5Z event=server_lost instance=a server=s1\n"
                            + "time=2026-12-06T10:00:01.5Z event=server_lost instance=a server=s3\n"
                            + "time=2026-12-06T10:00:01.6Z event=log_lines_dropped count=7"
                            + " instance=a";
            List<String> printed = explain(log);
            assertEquals(List.of("NO_END", "LINES_MISSING"), conclusions(printed));
            assertTrue(printed.stream().anyMatch(line -> line.contains("server=s1")));
            assertFalse(printed.stream().anyMatch(line -> line.contains("server=s3")));
        }
    }
}
