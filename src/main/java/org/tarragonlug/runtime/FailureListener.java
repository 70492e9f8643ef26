package org.tarragonlug.runtime;

/** Listener for unexpected failures of parts of the process. */
@FunctionalInterface
public interface FailureListener {
    /**
     * Called when a part has failed unexpectedly.
     *
     * @param part name of the part
     * @param failure the exception that the part threw
     */
    void onPartFailed(String part, Throwable failure);
}
