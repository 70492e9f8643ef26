package org.tarragonlug.http;

/**
 * An answer that was skipped because it names another call than the one in progress.
 *
 * @param call the value by which it names its call
 * @param status HTTP status
 * @param bytes length of its head and body, as received
 */
public record SkippedAnswer(String call, int status, long bytes) {}
