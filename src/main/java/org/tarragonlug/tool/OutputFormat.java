package org.tarragonlug.tool;

/** Form of a command's output. */
public enum OutputFormat {
    /** For a person. */
    TEXT,
    /** For a program. */
    JSON
}
