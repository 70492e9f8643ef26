package org.tarragonlug.trial;

/** Observer of the progress of a trial. */
@FunctionalInterface
public interface TrialProgress {
    /** Called with a line for the person who waits. */
    void onProgress(String line);
}
