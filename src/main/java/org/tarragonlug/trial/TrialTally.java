package org.tarragonlug.trial;

import java.time.Duration;
import java.util.EnumMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/** Counts the outcomes of the requests of a trial. Thread-safe. */
final class TrialTally {
    private static final long MAXIMUM_MICROS = Duration.ofMinutes(10).toNanos() / 1000;
    private static final int DIGITS = 3;

    private final Map<TrialOutcome, Integer> outcomes = new EnumMap<>(TrialOutcome.class);
    private final Map<String, Integer> refusals = new TreeMap<>();
    private final Set<String> keysNotRun = new HashSet<>();
    private final Set<String> keysPossiblyRun = new HashSet<>();
    private final Set<String> keysAnswered = new HashSet<>();
    private final Histogram coldStarts = new Histogram(MAXIMUM_MICROS, DIGITS);
    private final Histogram firstTokens = new Histogram(MAXIMUM_MICROS, DIGITS);
    private String firstWrong = "";
    private int sent;

    synchronized void countSent() {
        sent++;
    }

    synchronized void countEnded(TrialOutcome outcome) {
        outcomes.merge(outcome, 1, Integer::sum);
    }

    synchronized void countRefused(String code, String execution) {
        countEnded(TrialOutcome.REFUSED);
        refusals.merge(code + " (" + execution + ")", 1, Integer::sum);
    }

    synchronized void countWrong(String detail) {
        countEnded(TrialOutcome.WRONG);
        if (firstWrong.isEmpty()) {
            firstWrong = detail;
        }
    }

    /** Records a refusal that states that the request with this key did not run. */
    synchronized void recordKeyNotRun(String key) {
        if (key.isEmpty()) {
            return;
        }
        keysNotRun.add(key);
    }

    synchronized void recordKeyAnswered(String key) {
        keysAnswered.add(key);
        keysPossiblyRun.add(key);
    }

    /** Records that a request with this key ended and may have run. */
    synchronized void recordKeyPossiblyRun(String key) {
        keysPossiblyRun.add(key);
    }

    synchronized void recordFirstToken(Duration elapsed, boolean cold) {
        long micros = Math.min(MAXIMUM_MICROS, elapsed.toNanos() / 1000);
        (cold ? coldStarts : firstTokens).recordValue(micros);
    }

    synchronized int sentCount() {
        return sent;
    }

    synchronized int count(TrialOutcome outcome) {
        return outcomes.getOrDefault(outcome, 0);
    }

    synchronized int endedCount() {
        return outcomes.values().stream().mapToInt(Integer::intValue).sum();
    }

    synchronized Map<String, Integer> refusals() {
        return new TreeMap<>(refusals);
    }

    /**
     * Returns the keys for which every request was refused as not run. Keys with another request
     * that may have run are left out, because a refusal as not run can then be true for its own
     * request although the key ran.
     */
    synchronized Set<String> keysNotRun() {
        Set<String> keys = new HashSet<>(keysNotRun);
        keys.removeAll(keysPossiblyRun);
        return keys;
    }

    synchronized Set<String> keysAnswered() {
        return new HashSet<>(keysAnswered);
    }

    synchronized Histogram coldStarts() {
        return coldStarts.copy();
    }

    synchronized Histogram firstTokens() {
        return firstTokens.copy();
    }

    synchronized String firstWrong() {
        return firstWrong;
    }
}
