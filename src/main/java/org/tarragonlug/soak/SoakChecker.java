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

    /** How late a server may see that a request has arrived. */
    private static final long SEEN_LATER_MILLIS = 300;

    /** How much later than its deadline a request may end. */
    static final long DEADLINE_SLACK_MILLIS = 1500;

    private static final int OK = 200;
    private static final int MISDIRECTED = 421;
    private static final int FIRST_REDIRECT = 300;
    private static final int NOT_FOUND = 404;
    private static final int FIRST_SERVER_FAULT = 500;

    /** Statuses that promise that a request was not run and never will be. */
    private static final Set<Integer> NOT_RUN = Set.of(408, 421, 429, 503);

    private final Map<RequestId, RequestRecord> requests = new HashMap<>();
    private final GatewayPauses pauses = new GatewayPauses();
    private final GatewaySignals signals;
    private final LostAnswers lostAnswers;
    private final GatewayStability stability = new GatewayStability(pauses);
    private final AppliedVersions versions = new AppliedVersions(stability, pauses);
    private final LeftServers leftServers = new LeftServers(stability);
    private final OrderHolders orderHolders = new OrderHolders(pauses);
    private final List<Finding> findings = new ArrayList<>();

    /** Streams that a server began while another one worked on for long, whoever answered. */
    private int begunBeside;

    /**
     * Creates a checker that knows no request.
     *
     * @param graceMillis time that a gateway has to end after SIGTERM
     */
    SoakChecker(long graceMillis) {
        signals = new GatewaySignals(graceMillis);
        lostAnswers = new LostAnswers(signals, pauses);
    }

    /** Returns whether a status promises that the request was not run. */
    static boolean isRefusal(int status) {
        return NOT_RUN.contains(status);
    }

    /** Records that a caller is about to send a request to a gateway. */
    synchronized void onSent(RequestId id, RequestKind kind, int gateway, long millis) {
        onSent(id, kind, 0, gateway, millis);
    }

    /**
     * Records that a caller is about to send a request to a gateway.
     *
     * @param version version that has added its route, for routes that versions add
     */
    synchronized void onSent(
            RequestId id, RequestKind kind, int version, int gateway, long millis) {
        RequestRecord request =
                requests.computeIfAbsent(id, sent -> new RequestRecord(kind, gateway));
        request.version = version;
        request.gateway = gateway;
        request.sentMillis = millis;
        request.endMillis = 0;
        request.refusalStatus = 0;
        request.history.add(RequestHistory.Step.SENT, millis, "gateway-" + gateway, 0);
    }

    /** Records that a server says that it does not run a request. */
    synchronized void onRefused(ServerArrival arrival, int status, long millis) {
        note(RequestHistory.Step.REFUSED, arrival, status, millis);
        RequestRecord request = requests.get(arrival.id());
        if (request != null) {
            request.refusedMillis = millis;
            if (status != MISDIRECTED) {
                checkLeft(arrival, request, millis);
            }
        }
    }

    /** Records that a server ends its connection instead of an answer. */
    synchronized void onClosed(ServerArrival arrival, long millis) {
        note(RequestHistory.Step.CLOSED, arrival, 0, millis);
        RequestRecord request = requests.get(arrival.id());
        if (request != null) {
            request.closedMillis = millis;
        }
    }

    /**
     * Records that the copy of an answer meets a request that waits on its connection.
     *
     * @param copied the request whose answer is copied
     */
    synchronized void onCopyMet(RequestId copied, ServerArrival arrival, long millis) {
        boolean same = copied.equals(arrival.id());
        RequestHistory.Step step =
                same ? RequestHistory.Step.COPY_MET : RequestHistory.Step.FOREIGN_COPY_MET;
        note(step, arrival, 0, millis);
        RequestRecord request = requests.get(arrival.id());
        if (request != null) {
            request.disturb(arrival);
        }
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
        checkLeft(arrival, request, millis);
        if (request.kind == RequestKind.ADDED) {
            versions.onRun(request.gateway, request.version, request.sentMillis, millis)
                    .ifPresent(text -> report(Check.CONFIGURATION_APPLIED, id, text));
        }
    }

    private void checkLeft(ServerArrival arrival, RequestRecord request, long millis) {
        leftServers
                .onArrival(arrival.server(), request.gateway, millis - SEEN_LATER_MILLIS)
                .ifPresent(text -> report(Check.LEFT_SERVER, arrival.id(), text));
    }

    /** Records an order that a server has received. */
    synchronized void onOrder(String server, String holder, long token, long millis) {
        int gateway = Integer.parseInt(holder.substring(holder.indexOf('-') + 1));
        orderHolders
                .onOrder(server, holder, gateway, token, millis)
                .forEach(text -> report(Check.ORDER_HOLDERS, Finding.NO_REQUEST, text));
    }

    /** Records that the store has acknowledged that a server leaves. */
    synchronized void onLeavingStored(String server, long millis) {
        leftServers.onStored(server, millis);
    }

    /** Records that the operator begins to write a version of the configuration. */
    synchronized void onVersionSent(int version) {
        versions.onSent(version);
    }

    /** Records that the store has acknowledged a version of the configuration. */
    synchronized void onVersionStored(int version, long millis) {
        versions.onStored(version, millis);
    }

    /** Records that the store has returned from a copy with a version of the configuration. */
    synchronized void onStoreRestored(int version) {
        versions.onRestored(version);
        leftServers.onRestored();
    }

    /**
     * Records that the store is impaired by one more or one less cause; see {@link
     * GatewayStability}.
     */
    synchronized void onStoreImpaired(boolean begins, boolean hinders, long millis) {
        stability.onStoreImpaired(begins, hinders, millis);
    }

    /** Records that a gateway has a new process. */
    synchronized void onStarted(int gateway, long millis) {
        stability.onGatewayDisturbed(gateway, millis);
        versions.onStarted(gateway, millis);
    }

    /** Records that a server begins a stream of events. */
    synchronized void onStreamBegun(ServerArrival arrival, long millis) {
        note(RequestHistory.Step.STREAM_BEGUN, arrival, 0, millis);
        RequestRecord request = requests.get(arrival.id());
        if (request != null) {
            request.answer(arrival);
        }
    }

    /** Records that a server no longer works on a request. */
    synchronized void onRunEnded(ServerArrival arrival, RunEnd end, long millis) {
        RequestRecord request = requests.get(arrival.id());
        if (request == null) {
            return;
        }
        note(end.step(), arrival, 0, millis);
        for (RequestRecord.Run run : request.runs) {
            if (run.arrival.equals(arrival) && !run.hasEnded()) {
                run.end = end;
                run.endMillis = millis;
                checkOverlap(request, run);
                return;
            }
        }
    }

    private void checkOverlap(RequestRecord request, RequestRecord.Run run) {
        if (!request.kind.isStreaming()) {
            return;
        }
        // Ends may be reported in another order than they happened, so both must be known.
        for (RequestRecord.Run other : request.runs) {
            long both = RequestRecord.millisBeside(run, other);
            boolean known = other != run && other.hasEnded();
            if (known && RequestRecord.isBegunBeside(run, other, STREAM_OVERLAP_MILLIS)) {
                begunBeside++;
            }
            if (known && isLong(request, Math.min(run.endMillis, other.endMillis), both)) {
                String text = "at " + run.arrival.server() + " and " + other.arrival.server();
                String time = " for " + both + " ms, begun at " + request.servers();
                report(Check.STREAM_AT_ONE_SERVER, run.arrival.id(), text + time);
            }
        }
        long after = request.millisAfterEnd(run);
        boolean killed = signals.isKilled(request.gateway, request.sentMillis, request.endMillis);
        if (!killed && isLong(request, run.endMillis, after)) {
            String text =
                    "still at "
                            + run.arrival.server()
                            + " "
                            + after
                            + " ms after its end, begun at ";
            report(Check.STREAM_ENDED_AT_SERVERS, run.arrival.id(), text + request.servers());
        }
    }

    /** Returns whether a time up to a moment is too long; a paused gateway ends nothing. */
    private boolean isLong(RequestRecord request, long endMillis, long millis) {
        long paused = pauses.overlap(request.gateway, endMillis - millis, endMillis);
        return millis - paused > STREAM_OVERLAP_MILLIS;
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
        } else if (request.kind == RequestKind.ADDED && answer.status() == NOT_FOUND) {
            versions.onNotFound(request.gateway, request.version, request.sentMillis)
                    .ifPresent(text -> report(Check.CONFIGURATION_APPLIED, id, text));
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
        request.endMillis = endMillis;
        long excused = pauses.overlap(request.gateway, sentMillis, endMillis);
        long limit = request.kind.deadlineMillis() + DEADLINE_SLACK_MILLIS + excused;
        if (endMillis - sentMillis > limit) {
            String text = request.kind + " ended after " + (endMillis - sentMillis) + " ms, ";
            report(Check.ENDS_IN_TIME, id, text + excused + " ms of it at a paused gateway");
        }
    }

    /** Records that the connection of a send has ended without a whole answer. */
    synchronized void onUnanswered(RequestId id, long sentMillis, long endMillis) {
        RequestRecord request = requests.get(id);
        String place = "gateway-" + request.gateway;
        request.history.add(RequestHistory.Step.UNANSWERED, endMillis, place, 0);
        lostAnswers.add(new UnansweredRequest(id, request.gateway, sentMillis, endMillis));
    }

    /**
     * Judges the requests without a whole answer and the runs that have not ended, when no caller
     * waits any more.
     */
    synchronized void finish(long millis) {
        for (RequestRecord request : requests.values()) {
            for (RequestRecord.Run run : request.runs) {
                if (!run.hasEnded()) {
                    onRunEnded(run.arrival, RunEnd.WITHDRAWN, millis);
                }
            }
        }
        findings.addAll(lostAnswers.judge(requests::get));
    }

    /** Records an action of an operator at a gateway, or at {@link GatewaySignals#ALL_GATEWAYS}. */
    synchronized void onOperatorAction(OperatorAction work, int gateway, long millis) {
        signals.onOperatorAction(work, gateway, millis);
        if (work == OperatorAction.TERMINATE) {
            stability.onGatewayDisturbed(gateway, millis);
        }
    }

    /** Records that a gateway is killed. */
    synchronized void onKilled(int gateway, long millis) {
        signals.onKilled(gateway, millis);
        stability.onGatewayDisturbed(gateway, millis);
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
        line.append(" streams_begun_beside_another=").append(begunBeside);
        line.append(" orders=").append(orderHolders.orders());
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
