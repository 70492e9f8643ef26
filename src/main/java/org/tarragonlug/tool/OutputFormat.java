package org.tarragonlug.tool;

/** Format of a command's output. */
public enum OutputFormat {
    /** Text for people. */
    TEXT,
    /** JSON for programs. */
    JSON
}
