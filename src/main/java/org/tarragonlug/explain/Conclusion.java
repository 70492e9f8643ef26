package org.tarragonlug.explain;

import java.util.Arrays;
import java.util.List;
import java.util.function.Predicate;

/** What the lines about a request show, the most serious first. */
enum Conclusion {
    RAN_THOUGH_REFUSED(
            trace -> trace.isRefused() && trace.hasLateAnswerOfRun(),
            "A server ran the request although its caller was told that it had not run: an answer"
                    + " to it came after it had been rejected. The server that rejected it on that"
                    + " connection is at fault, unless REJECTION_MAY_BE_A_COPY follows."),
    REJECTION_MAY_BE_A_COPY(
            RequestTrace::repeatsConnection,
            "Two sends had the same connection, so the later rejection may be a copy of the"
                    + " earlier one and the request may have run. This is a defect of the"
                    + " instance; report it with these lines."),
    UNPROVEN(
            trace -> trace.hasEnd("not_run", "unproven"),
            "The caller was told that the request had not run, and a send of it was not rejected."
                    + " This is a defect of the instance; report it with these lines."),
    ANSWER_AMBIGUOUS(
            trace -> trace.hasEnd("outcome", "failed_answer_ambiguous"),
            "A server answered with a status that means \"not run\" and did not state it, so the"
                    + " caller got 502. Whether it ran is known to that server only."),
    SERVER_LOST(
            trace -> trace.hasEnd("outcome", "failed_server_lost"),
            "The connection to the server broke or its answer could not be read, and the request"
                    + " could not go on elsewhere. It may have run."),
    TIME_OVER(
            trace -> trace.hasEnd("outcome", "failed_time_over"),
            "The server had not answered when the time of the request was over. It may have run."),
    ENDED_BY_A_STOP(
            RequestTrace::failedDuringStop,
            "The instance was stopping when the request failed. If its server had neither broken"
                    + " off nor used up the time, the stop cut it; report it with these lines."),
    REJECTED(
            trace -> trace.hasEnd("not_run", "rejected"),
            "Each server that got the request said that it did not run it."),
    NEVER_WRITTEN(
            trace -> trace.hasEnd("not_run", "never_written"),
            "No server got the request: no connection was established, or it was withdrawn first."),
    NEVER_SENT(
            trace -> trace.hasEnd("not_run", "never_sent"),
            "No server was chosen for the request; the outcome of its end tells why."),
    GROUND_UNKNOWN(
            RequestTrace::isRefusedWithoutGround,
            "The caller was told that the request had not run, and its end does not say on what"
                    + " that rests: the release is older than this. Read what the servers said."),
    NOT_ADMITTED(
            RequestTrace::isRefusedWithoutPromise,
            "The request had no route or no valid key; the outcome of its end tells which."),
    CALLER_LEFT(
            trace -> trace.hasEnd("outcome", "caller_gone"),
            "The caller closed its connection before the request ended."),
    ANSWERED(
            trace -> trace.hasEnd("outcome", "answered"),
            "The caller got the answer of a server; its status is the server's own."),
    CAME_BACK(
            trace -> trace.ends().size() > 1,
            "The caller sent the id again; each end is that of one arrival."),
    NO_END(
            trace -> !trace.own().isEmpty() && trace.ends().isEmpty(),
            "No line tells the end. The log is cut short, or the process ended before."),
    LINES_MISSING(
            RequestTrace::missesLines,
            "Lines of an instance are missing around that time. Lines about refusals after a send"
                    + " are dropped last."),
    NOT_FOUND(
            trace -> trace.own().isEmpty(),
            "No line names the request. The log of its instance is missing, or it had no id.");

    private final Predicate<RequestTrace> shown;
    private final String text;

    Conclusion(Predicate<RequestTrace> shown, String text) {
        this.shown = shown;
        this.text = text;
    }

    /** Returns all that the lines about a request show. */
    static List<Conclusion> of(RequestTrace trace) {
        return Arrays.stream(values()).filter(each -> each.shown.test(trace)).toList();
    }

    /** Returns a sentence for those on call. */
    String text() {
        return text;
    }
}
