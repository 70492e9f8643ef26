package org.tarragonlug.trial;

/** Observer of the progress of a trial. */
@FunctionalInterface
public interface TrialProgress {
    /** Called with a line of text for the person who runs the trial. */
    void onProgress(String line);
}
