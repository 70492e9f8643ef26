package org.tarragonlug.soak;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import org.tarragonlug.id.RequestId;
import org.tarragonlug.platform.ServerAnswer;

/**
 * Checks what servers and callers report. A caller may send a request again with the same id after
 * an answer that promises that it was not run. All sends of an id count as one request: a request
 * that must not be repeated begins once at most over all of them. A promise must not follow a
 * begin, whatever send it belongs to. A begin must not follow a promise, unless the caller has sent
 * the id again since; which send a begin belongs to can't be seen at a server.
 *
 * <p>It does no I/O and reads no clock; times are milliseconds of one clock. May be used by several
 * threads.
 */
final class SoakChecker {
    /** How long a server may still work on a stream that has gone on at another one. */
    static final long STREAM_OVERLAP_MILLIS = 400;

    /** How much later than its deadline a request may end. */
    static final long DEADLINE_SLACK_MILLIS = 1500;

    private static final int OK = 200;
    private static final int FIRST_REDIRECT = 300;
    private static final int FIRST_SERVER_FAULT = 500;

    /** Statuses that promise that a request was not run and never will be. */
    private static final Set<Integer> NOT_RUN = Set.of(408, 421, 429, 503);

    private final Map<RequestId, RequestRecord> requests = new HashMap<>();
    private final GatewayPauses pauses = new GatewayPauses();
    private final List<Finding> findings = new ArrayList<>();

    /** Returns whether a status promises that the request was not run. */
    static boolean isRefusal(int status) {
        return NOT_RUN.contains(status);
    }

    /** Records that a caller is about to send a request to a gateway. */
    synchronized void onSent(RequestId id, RequestKind kind, int gateway) {
        RequestRecord request =
                requests.computeIfAbsent(id, sent -> new RequestRecord(kind, gateway));
        request.gateway = gateway;
        request.refusalStatus = 0;
    }

    /** Records that a server begins to run a request. */
    synchronized void onBegun(RequestId id, String server, String service, long millis) {
        RequestRecord request = requests.get(id);
        if (request == null) {
            report(Check.SENT_BY_A_CALLER, id, "begun at " + server);
            return;
        }
        request.runs.add(new RequestRecord.Run(server, millis));
        if (!request.kind.service().equals(service)) {
            report(Check.OWN_SERVICE, id, request.kind + " begun at " + server);
        }
        if (request.runs.size() > 1 && !request.kind.isRepeatable()) {
            report(Check.RUN_ONCE, id, request.kind + " begun at " + request.servers());
        }
        checkRefusal(id, request);
    }

    /** Records that a server no longer works on a request. */
    synchronized void onRunEnded(RequestId id, String server, long millis) {
        RequestRecord request = requests.get(id);
        if (request == null) {
            return;
        }
        for (RequestRecord.Run run : request.runs) {
            if (run.server.equals(server) && !run.ended) {
                run.ended = true;
                checkOverlap(id, request, run, millis);
                return;
            }
        }
    }

    private void checkOverlap(
            RequestId id, RequestRecord request, RequestRecord.Run run, long millis) {
        int place = request.runs.indexOf(run);
        if (!request.kind.isStreaming() || place == request.runs.size() - 1) {
            return;
        }
        long next = request.runs.get(place + 1).beginMillis;
        // A paused gateway neither ends the stream before nor sees its end.
        long excused = pauses.overlap(request.gateway, next, millis);
        if (millis - next - excused > STREAM_OVERLAP_MILLIS) {
            String text = "still at " + run.server + " for " + (millis - next) + " ms, begun at ";
            report(Check.STREAM_AT_ONE_SERVER, id, text + request.servers());
        }
    }

    /** Records a complete or broken answer that a caller received. */
    synchronized void onAnswer(RequestId id, CallerAnswer answer) {
        RequestRecord request = requests.get(id);
        if (isRefusal(answer.status())) {
            request.refusalStatus = answer.status();
            checkRefusal(id, request);
        }
        String named = answer.headers().getOrDefault(ServerAnswer.REQUEST_ID, "");
        if (!named.isEmpty() && !named.equals(id.value())) {
            report(Check.OWN_ANSWER, id, "the answer names " + named);
        }
        if (answer.status() >= OK && answer.status() < FIRST_REDIRECT) {
            checkSuccess(id, request.kind, answer, named);
        } else if (answer.status() < FIRST_SERVER_FAULT && !isRefusal(answer.status())) {
            report(Check.PROPER_STATUS, id, request.kind + " answered " + answer.status());
        }
    }

    private void checkSuccess(RequestId id, RequestKind kind, CallerAnswer answer, String named) {
        String expected = AnswerContent.success(id, kind);
        boolean sealed = answer.headers().getOrDefault(ServerAnswer.SEAL, "").endsWith(id.value());
        if (named.isEmpty() || !sealed) {
            report(Check.OWN_ANSWER, id, "a success without its id or seal: " + answer.headers());
        }
        if (!expected.startsWith(answer.body())) {
            report(Check.WHOLE_ANSWER, id, "wrong bytes: " + excerpt(answer.body(), expected));
        } else if (answer.complete() && answer.body().length() < expected.length()) {
            String text = answer.body().length() + " of " + expected.length() + " bytes";
            report(Check.WHOLE_ANSWER, id, "looks complete with " + text);
        }
    }

    private static String excerpt(String body, String expected) {
        int place = 0;
        while (place < Math.min(body.length(), expected.length())
                && body.charAt(place) == expected.charAt(place)) {
            place++;
        }
        return "at " + place + ": " + body.substring(place, Math.min(body.length(), place + 200));
    }

    private void checkRefusal(RequestId id, RequestRecord request) {
        if (request.refusalStatus != 0 && !request.runs.isEmpty()) {
            String text = request.kind + " answered " + request.refusalStatus + ", begun at ";
            report(Check.REFUSED_IS_NOT_RUN, id, text + request.servers());
        }
    }

    /** Records that a request has ended for its caller, with whatever outcome. */
    synchronized void onEnded(RequestId id, long sentMillis, long endMillis) {
        RequestRecord request = requests.get(id);
        long excused = pauses.overlap(request.gateway, sentMillis, endMillis);
        long limit = request.kind.deadlineMillis() + DEADLINE_SLACK_MILLIS + excused;
        if (endMillis - sentMillis > limit) {
            String text = request.kind + " ended after " + (endMillis - sentMillis) + " ms, ";
            report(Check.ENDS_IN_TIME, id, text + excused + " ms of it at a paused gateway");
        }
    }

    /** Records that a gateway is paused from now on. */
    synchronized void onPaused(int gateway, long millis) {
        pauses.begin(gateway, millis);
    }

    /** Records that a gateway is no longer paused. */
    synchronized void onResumed(int gateway, long millis) {
        pauses.end(gateway, millis);
    }

    /** Adds a finding. */
    synchronized void report(Check check, RequestId id, String text) {
        findings.add(new Finding(check, id, text));
    }

    /** Returns the number of findings, in all and by check, as one line of key=value. */
    synchronized String line() {
        StringBuilder line = new StringBuilder("findings=" + findings.size());
        for (Check check : Check.values()) {
            long count = findings.stream().filter(each -> each.check() == check).count();
            line.append(" found_").append(check.name().toLowerCase(Locale.ROOT)).append('=');
            line.append(count);
        }
        return line.toString();
    }

    /** Returns what was found so far. */
    synchronized List<Finding> findings() {
        return List.copyOf(findings);
    }
}
