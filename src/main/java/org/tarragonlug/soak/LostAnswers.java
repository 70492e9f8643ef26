package org.tarragonlug.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import org.tarragonlug.id.RequestId;

/**
 * Finds requests whose connection ended without a whole answer although a server had them and went
 * on with them. They are judged when all servers have ended their work, since a server may notice
 * the end of a run later than the caller.
 */
final class LostAnswers {
    /** How much earlier than its deadline a gateway may end a request as too late. */
    private static final long DEADLINE_MARGIN_MILLIS = 50;

    /** How late a gateway, a server or a caller may see what another one has done. */
    private static final long SEEN_LATER_MILLIS = 300;

    private final GatewaySignals signals;
    private final GatewayPauses pauses;
    private final List<UnansweredRequest> unanswered = new ArrayList<>();

    LostAnswers(GatewaySignals signals, GatewayPauses pauses) {
        this.signals = signals;
        this.pauses = pauses;
    }

    void add(UnansweredRequest request) {
        unanswered.add(request);
    }

    /** Returns what is found, and forgets the requests. */
    List<Finding> judge(Function<RequestId, RequestRecord> records) {
        List<Finding> found = new ArrayList<>();
        for (UnansweredRequest request : unanswered) {
            judge(request, records.apply(request.id())).ifPresent(found::add);
        }
        unanswered.clear();
        return found;
    }

    private Optional<Finding> judge(UnansweredRequest request, RequestRecord record) {
        long took = request.endMillis() - request.sentMillis();
        boolean timeOver = took >= record.kind.deadlineMillis() - DEADLINE_MARGIN_MILLIS;
        boolean killed =
                signals.isKilled(request.gateway(), request.sentMillis(), request.endMillis());
        if (timeOver || killed || isBreakSeenLate(request, record)) {
            return Optional.empty();
        }
        boolean lost =
                record.hasRun(request)
                        ? record.lastRun(request).filter(run -> isCut(request, run)).isPresent()
                                && !isEndedByServer(request, record)
                        : record.isRefusedLast(request);
        return lost ? Optional.of(finding(request, record, took)) : Optional.empty();
    }

    /**
     * Returns whether a server has broken off while the gateway may have been paused, so that the
     * gateway has seen that after what other servers did later.
     */
    private boolean isBreakSeenLate(UnansweredRequest request, RequestRecord record) {
        long paused = pauses.overlap(request.gateway(), request.sentMillis(), request.endMillis());
        return paused > 0 && record.brokenOff(request).findAny().isPresent();
    }

    /** Returns whether a server has broken off, and no other one had the request long after. */
    private static boolean isEndedByServer(UnansweredRequest request, RequestRecord record) {
        long lastWork =
                record.lastRun(request)
                        .map(run -> Math.min(run.endMillis, request.endMillis()))
                        .orElseThrow();
        return record.brokenOff(request)
                .anyMatch(
                        run ->
                                run.endMillis >= lastWork - SEEN_LATER_MILLIS
                                        && run.endMillis <= request.endMillis());
    }

    private boolean isCut(UnansweredRequest request, RequestRecord.Run run) {
        long workedUntil = Math.min(run.endMillis, request.endMillis());
        return !run.disturbed && !signals.mayCut(request, workedUntil);
    }

    private Finding finding(UnansweredRequest request, RequestRecord record, long took) {
        Optional<OperatorAction> work = signals.around(request);
        String text = record.kind + " without a whole answer after " + took + " ms, at gateway ";
        String place = text + request.gateway() + ", begun at [" + record.servers() + "]";
        return work.map(
                        each ->
                                new Finding(
                                        Check.LOST_AROUND_OPERATOR_ACTION,
                                        request.id(),
                                        place + " around " + each))
                .orElseGet(() -> new Finding(Check.LOST_ANSWER, request.id(), place));
    }
}
