package org.tarragonlug.trial;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

/**
 * The problems that the checks of a trial have found. Reports each distinct problem once, as soon
 * as it is found. Thread-safe.
 */
final class TrialProblems implements Consumer<String> {
    private final TrialProgress progress;
    private final long startNanos = System.nanoTime();
    private final Set<String> found = new LinkedHashSet<>();

    TrialProblems(TrialProgress progress) {
        this.progress = progress;
    }

    @Override
    public void accept(String problem) {
        synchronized (this) {
            if (!found.add(problem)) {
                return;
            }
        }
        long millis = (System.nanoTime() - startNanos) / 1_000_000;
        progress.onProgress("PROBLEM at " + millis + " ms: " + problem);
    }

    synchronized List<String> all() {
        return new ArrayList<>(found);
    }
}
