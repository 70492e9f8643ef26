package org.tarragonlug.trial;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Map;
import org.HdrHistogram.Histogram;
import org.tarragonlug.runtime.Json;

/**
 * The result of a trial. Values without a unit are numbers of the described things.
 *
 * @param settings settings of the trial
 * @param sent requests sent
 * @param answered requests with a complete and correct answer
 * @param refused refused requests, by error code and by whether the request ran
 * @param wrong answers that were malformed, incomplete or belonged to another request
 * @param firstWrong description of the first wrong answer; empty if there is none
 * @param lost requests without any answer
 * @param brokenByKill requests whose connection broke because the trial killed the instance
 * @param problems messages of the checks, with details for diagnosis
 * @param runTwice keys of non-idempotent calls that ran more than once
 * @param falselyNotRun keys that ran although every request was answered "not run"
 * @param answeredNotRun keys that were answered with success although the service never ran them
 * @param replicasDecided slots in the capacity record at the end
 * @param replicasLoaded replicas loaded on the engines at the end
 * @param aboveLimit artifacts that had more replicas at the same time than their pool allows
 * @param overcommits loads that did not fit into a server's memory
 * @param violations invariant violations that the instances found
 * @param weightStoreLoads loads from the weight store
 * @param objectApiWrites writes to the object API
 * @param idleSeconds idle accelerator time in nominal seconds
 * @param coldStarts time to the first token in microseconds, of requests for artifacts that no
 *     engine had loaded when the request was sent
 * @param firstTokens time to the first token in microseconds, of the other requests
 */
public record TrialResult(
        TrialSettings settings,
        int sent,
        int answered,
        Map<String, Integer> refused,
        int wrong,
        String firstWrong,
        int lost,
        int brokenByKill,
        List<String> problems,
        int runTwice,
        int falselyNotRun,
        int answeredNotRun,
        int replicasDecided,
        int replicasLoaded,
        int aboveLimit,
        long overcommits,
        long violations,
        int weightStoreLoads,
        long objectApiWrites,
        double idleSeconds,
        Histogram coldStarts,
        Histogram firstTokens) {
    /**
     * Returns whether the trial passed: at least one request was answered, none was lost or
     * answered wrongly, and no other check failed. Refused requests and connections broken by a
     * kill of the trial are allowed.
     */
    public boolean isSuccessful() {
        return answered > 0
                && wrong == 0
                && lost == 0
                && problems.isEmpty()
                && runTwice == 0
                && falselyNotRun == 0
                && answeredNotRun == 0
                && aboveLimit == 0
                && overcommits == 0
                && violations == 0
                && replicasLoaded <= replicasDecided;
    }

    /** Returns the number of refused requests. */
    public int refusedCount() {
        return refused.values().stream().mapToInt(Integer::intValue).sum();
    }

    /** Returns the result as JSON, with the percentiles of the histograms in milliseconds. */
    public ObjectNode toJson() {
        ObjectNode node = Json.object();
        node.put("deployment", settings.deployment().name());
        node.put("instances", settings.instances());
        node.put("seconds", settings.seconds());
        node.put("seed", settings.seed());
        node.put("sent", sent);
        node.put("answered", answered);
        ObjectNode kinds = node.putObject("refused");
        refused.forEach(kinds::put);
        node.put("wrong", wrong);
        node.put("lost", lost);
        node.put("brokenByKill", brokenByKill);
        ArrayNode found = node.putArray("problems");
        problems.forEach(found::add);
        node.put("runTwice", runTwice);
        node.put("falselyNotRun", falselyNotRun);
        node.put("answeredNotRun", answeredNotRun);
        node.put("replicasDecided", replicasDecided);
        node.put("replicasLoaded", replicasLoaded);
        node.put("aboveLimit", aboveLimit);
        node.put("overcommits", overcommits);
        node.put("violations", violations);
        node.put("weightStoreLoads", weightStoreLoads);
        node.put("objectApiWrites", objectApiWrites);
        node.put("idleSeconds", idleSeconds);
        putHistogram(node.putObject("coldStartMillis"), coldStarts);
        putHistogram(node.putObject("firstTokenMillis"), firstTokens);
        node.put("good", isSuccessful());
        return node;
    }

    private static void putHistogram(ObjectNode node, Histogram histogram) {
        node.put("count", histogram.getTotalCount());
        node.put("p50", histogram.getValueAtPercentile(50) / 1e3);
        node.put("p99", histogram.getValueAtPercentile(99) / 1e3);
        node.put("max", histogram.getMaxValue() / 1e3);
    }
}
