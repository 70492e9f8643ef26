package org.tarragonlug.explain;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;

/** All lines about one request, and those about its servers and instances around that time. */
final class RequestTrace {
    /** Statuses that promise that a request has not run and never will. */
    private static final Set<Integer> PROMISES = Set.of(408, 421, 429, 503);

    /** Time before and after a request in which lines about its servers may explain it. */
    private static final Duration SURROUNDINGS = Duration.ofSeconds(1);

    private static final Set<String> SERVER_EVENTS =
            Set.of(
                    "server_listed",
                    "server_unlisted",
                    "server_lost",
                    "server_notice",
                    "server_limit_begun");
    private static final Set<String> INSTANCE_EVENTS =
            Set.of(
                    "instance_started",
                    "drain_started",
                    "instance_stopped",
                    "process_paused",
                    "store_restored",
                    "configuration_older",
                    "log_lines_dropped",
                    "invariant_violated",
                    "part_failed");

    private final String id;
    private final List<LogRecord> own;
    private final List<LogRecord> surroundings;

    private RequestTrace(String id, List<LogRecord> own, List<LogRecord> surroundings) {
        this.id = id;
        this.own = own;
        this.surroundings = surroundings;
    }

    /**
     * Selects the lines that concern a request, in the order of their times.
     *
     * @param id the request's id
     * @param records the lines of all instances, those of each in their order
     */
    static RequestTrace of(String id, List<LogRecord> records) {
        List<LogRecord> sorted = new ArrayList<>(records);
        sorted.sort(Comparator.comparing(LogRecord::time));
        List<LogRecord> own = sorted.stream().filter(each -> names(each, id)).toList();
        if (own.isEmpty()) {
            return new RequestTrace(id, own, List.of());
        }
        Instant begin = own.get(0).time().minus(SURROUNDINGS);
        Instant end = own.get(own.size() - 1).time().plus(SURROUNDINGS);
        Set<String> servers = new HashSet<>();
        Set<String> instances = new HashSet<>();
        own.forEach(
                each -> {
                    servers.add(each.field("server"));
                    instances.add(each.instance());
                });
        List<LogRecord> around =
                sorted.stream()
                        .filter(each -> !each.time().isBefore(begin) && !each.time().isAfter(end))
                        .filter(each -> !names(each, id))
                        .filter(each -> instances.contains(each.instance()))
                        .filter(each -> concerns(each, servers))
                        .toList();
        return new RequestTrace(id, own, around);
    }

    private static boolean names(LogRecord line, String id) {
        return line.field("request").equals(id) || line.field("answers").equals(id);
    }

    private static boolean concerns(LogRecord line, Set<String> servers) {
        return INSTANCE_EVENTS.contains(line.event())
                || SERVER_EVENTS.contains(line.event()) && servers.contains(line.field("server"));
    }

    String id() {
        return id;
    }

    /** Returns the lines that name the request. */
    List<LogRecord> own() {
        return own;
    }

    /** Returns the lines about its servers and its instances around that time. */
    List<LogRecord> surroundings() {
        return surroundings;
    }

    /** Returns the lines about the ends of the request; more than one if its caller came back. */
    List<LogRecord> ends() {
        return ofEvent("forward_ended");
    }

    /** Returns the lines of an event that name the request. */
    List<LogRecord> ofEvent(String event) {
        return own.stream().filter(each -> each.is(event)).toList();
    }

    /** Returns whether a line about an end has a value for a key. */
    boolean hasEnd(String key, String value) {
        return ends().stream().anyMatch(each -> each.field(key).equals(value));
    }

    /** Returns whether a caller was told that the request has not run. */
    boolean isRefused() {
        return refusals().anyMatch(RequestTrace::isPromise);
    }

    /** Returns whether a caller was told so, and the line does not state on what that rests. */
    boolean isRefusedWithoutGround() {
        return refusals().anyMatch(each -> isPromise(each) && each.field("not_run").isEmpty());
    }

    /** Returns whether the request was refused with a status that promises nothing. */
    boolean isRefusedWithoutPromise() {
        return refusals().anyMatch(each -> !isPromise(each));
    }

    private Stream<LogRecord> refusals() {
        return ends().stream().filter(each -> each.field("outcome").startsWith("refused_"));
    }

    private static boolean isPromise(LogRecord end) {
        return PROMISES.contains(end.status());
    }

    /** Returns the lines about answers that came after the request had been refused or ended. */
    List<LogRecord> lateAnswers() {
        return own.stream()
                .filter(
                        each ->
                                each.is("forward_answer_late")
                                        || each.is("forward_answer_skipped")
                                                && each.field("answers").equals(id))
                .toList();
    }

    /** Returns whether a server has answered after it had rejected the request, as if it ran it. */
    boolean hasLateAnswerOfRun() {
        return lateAnswers().stream()
                .mapToInt(LogRecord::status)
                .anyMatch(status -> status != 0 && !PROMISES.contains(status));
    }

    /** Returns whether two sends of the request had the same connection. */
    boolean repeatsConnection() {
        Set<String> connections = new HashSet<>();
        boolean repeated = false;
        for (LogRecord end : ends()) {
            for (SentRequest send : SentRequest.parse(end.field("sends"))) {
                boolean first = connections.add(end.instance() + " " + send.connection());
                repeated |= !first && send.hasConnection() && send.earlierCalls() > 0;
            }
        }
        return repeated;
    }

    /** Returns whether the request failed while its instance was stopping. */
    boolean failedDuringStop() {
        return ends().stream()
                .filter(each -> each.field("stopping").equals("true"))
                .anyMatch(each -> each.field("outcome").startsWith("failed_"));
    }

    /** Returns whether lines of one of its instances are missing. */
    boolean missesLines() {
        return surroundings.stream().anyMatch(each -> each.is("log_lines_dropped"));
    }
}
