package org.tarragonlug.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** What an operator has done to gateways. Times are milliseconds of one clock. */
final class GatewaySignals {
    /** Stands for all gateways. */
    static final int ALL_GATEWAYS = -1;

    /** Until when after SIGTERM callers may send requests that the stop may cut at its end. */
    private static final long SENT_AFTER_STOP_MILLIS = 3000;

    /** How long after a process was killed its callers may see that. */
    private static final long KILL_SEEN_MILLIS = 500;

    private record Event(OperatorAction work, int gateway, long millis) {
        boolean concerns(UnansweredRequest request) {
            return gateway == ALL_GATEWAYS || gateway == request.gateway();
        }
    }

    private record Kill(int gateway, long millis) {}

    private final long graceMillis;
    private final List<Event> events = new ArrayList<>();
    private final List<Kill> kills = new ArrayList<>();

    /**
     * Creates the part without any event.
     *
     * @param graceMillis time that a gateway has to end after SIGTERM
     */
    GatewaySignals(long graceMillis) {
        this.graceMillis = graceMillis;
    }

    void onOperatorAction(OperatorAction work, int gateway, long millis) {
        events.add(new Event(work, gateway, millis));
    }

    void onKilled(int gateway, long millis) {
        kills.add(new Kill(gateway, millis));
    }

    /** Returns whether a gateway was killed within a time or just before. */
    boolean isKilled(int gateway, long beginMillis, long endMillis) {
        return kills.stream()
                .filter(kill -> kill.gateway() == gateway)
                .filter(kill -> kill.millis() >= beginMillis - KILL_SEEN_MILLIS)
                .anyMatch(kill -> kill.millis() <= endMillis);
    }

    /** Returns the latest action of an operator around which a request has ended. */
    Optional<OperatorAction> around(UnansweredRequest request) {
        return events.stream()
                .filter(event -> event.concerns(request))
                .filter(event -> event.millis() <= request.endMillis())
                .filter(event -> request.sentMillis() <= effectEnd(event))
                .reduce((earlier, later) -> later)
                .map(Event::work);
    }

    private long effectEnd(Event event) {
        return event.millis() + event.work().effectMillis(graceMillis);
    }

    /**
     * Returns whether a stop may cut a request that a server works on until a time: in the last
     * sixth of the grace time, if the request was sent soon after the signal at the latest.
     */
    boolean mayCut(UnansweredRequest request, long workedUntilMillis) {
        return events.stream()
                .filter(event -> event.work() == OperatorAction.TERMINATE)
                .filter(event -> event.concerns(request))
                .filter(event -> event.millis() <= request.endMillis())
                .filter(event -> request.sentMillis() <= event.millis() + SENT_AFTER_STOP_MILLIS)
                .anyMatch(event -> workedUntilMillis >= event.millis() + graceMillis * 5 / 6);
    }
}
