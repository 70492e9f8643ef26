package org.tarragonlug.soak;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
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
    synchronized void onSent(RequestId id, RequestKind kind, int gateway, long millis) {
        RequestRecord request =
                requests.computeIfAbsent(id, sent -> new RequestRecord(kind, gateway));
        request.gateway = gateway;
        request.sentMillis = millis;
        request.refusalStatus = 0;
        request.history.add(RequestHistory.Step.SENT, millis, "gateway-" + gateway, 0);
    }

    /** Records that a server says that it does not run a request. */
    synchronized void onRefused(ServerArrival arrival, int status, long millis) {
        note(RequestHistory.Step.REFUSED, arrival, status, millis);
    }

    /** Records that a copy of a request's answer meets the same request on its connection. */
    synchronized void onCopyMet(ServerArrival arrival, long millis) {
        note(RequestHistory.Step.COPY_MET, arrival, 0, millis);
    }

    private void note(RequestHistory.Step step, ServerArrival arrival, int status, long millis) {
        RequestRecord request = requests.get(arrival.id());
        if (request != null) {
            request.history.add(step, millis, arrival.toString(), status);
        }
    }

    /** Records that a server begins to run a request. */
    synchronized void onBegun(ServerArrival arrival, String service, long millis) {
        RequestId id = arrival.id();
        RequestRecord request = requests.get(id);
        if (request == null) {
            report(Check.SENT_BY_A_CALLER, id, "begun at " + arrival.server());
            return;
        }
        note(RequestHistory.Step.BEGUN, arrival, 0, millis);
        request.begin(arrival, millis);
        if (!request.kind.service().equals(service)) {
            report(Check.OWN_SERVICE, id, request.kind + " begun at " + arrival.server());
        }
        if (request.runs.size() > 1 && !request.kind.isRepeatable()) {
            report(Check.RUN_ONCE, id, request.kind + " begun at " + request.servers());
        }
        checkRefusal(id, request);
    }

    /**
     * Records that a server no longer works on a request.
     *
     * @param withdrawn whether the connection was closed meanwhile
     */
    synchronized void onRunEnded(ServerArrival arrival, boolean withdrawn, long millis) {
        RequestRecord request = requests.get(arrival.id());
        if (request == null) {
            return;
        }
        note(RequestHistory.Step.RUN_ENDED, arrival, 0, millis);
        for (RequestRecord.Run run : request.runs) {
            if (run.arrival.equals(arrival) && !run.ended) {
                run.ended = true;
                checkOverlap(request, run, withdrawn, millis);
                return;
            }
        }
    }

    private void checkOverlap(
            RequestRecord request, RequestRecord.Run run, boolean withdrawn, long millis) {
        Optional<RequestRecord.Run> next = request.nextAfter(run);
        if (!request.kind.isStreaming() || next.isEmpty()) {
            return;
        }
        long nextBegin = next.get().beginMillis;
        // A server that read the request late may begin after its connection was closed.
        long begin = withdrawn ? Math.max(nextBegin, run.beginMillis) : nextBegin;
        long both = millis - begin;
        // A paused gateway neither ends the stream before nor sees its end.
        long excused = pauses.overlap(request.gateway, begin, millis);
        if (both - excused > STREAM_OVERLAP_MILLIS) {
            String text = "still at " + run.arrival.server() + " for " + both + " ms, begun at ";
            report(Check.STREAM_AT_ONE_SERVER, run.arrival.id(), text + request.servers());
        }
    }

    /** Records a complete or broken answer that a caller received. */
    synchronized void onAnswer(RequestId id, CallerAnswer answer, long millis) {
        RequestRecord request = requests.get(id);
        String place = "gateway-" + request.gateway;
        request.history.add(RequestHistory.Step.ANSWERED, millis, place, answer.status());
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

    /** Returns what callers and servers have seen of a request; empty if it is not known. */
    synchronized String history(RequestId id) {
        RequestRecord request = requests.get(id);
        return request == null ? "" : request.history.toString();
    }

    /**
     * Tells whether no copy of an answer met the request again, so that none explains a finding.
     */
    private boolean hasOtherCause(Finding finding) {
        RequestRecord request = requests.get(finding.id());
        return request == null || !request.history.has(RequestHistory.Step.COPY_MET);
    }

    /**
     * Returns the number of findings, in all, without a copy that met the request again, and by
     * check, as one line of key=value.
     */
    synchronized String line() {
        StringBuilder line = new StringBuilder("findings=" + findings.size());
        long otherCause = findings.stream().filter(this::hasOtherCause).count();
        line.append(" findings_without_copy=").append(otherCause);
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
