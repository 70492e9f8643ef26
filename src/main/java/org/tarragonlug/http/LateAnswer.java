package org.tarragonlug.http;

/**
 * An answer that was received while no call was in progress on its connection, or together with the
 * end of another answer.
 *
 * @param localPort local port of the connection
 * @param status HTTP status; 0 if it cannot be read
 * @param call the value by which the answer names its call; empty if it names none
 */
public record LateAnswer(int localPort, int status, String call) {}
