package org.tarragonlug.runtime;

/** Observer of unexpected failures in a part of the process. */
@FunctionalInterface
public interface FailureListener {
    /**
     * Called when a part failed unexpectedly.
     *
     * @param part name of the part
     * @param failure what it threw
     */
    void onPartFailed(String part, Throwable failure);
}
