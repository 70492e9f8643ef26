package org.tarragonlug.decision.forwarding;

/** How much of a server's answer had arrived when its connection broke. */
public enum AnswerProgress {
    /** Nothing, so the server may not have begun to run the request. */
    NOTHING,
    /** The head of a successful answer, but no content. */
    HEAD,
    /** Content, so the server had begun to write the answer. */
    CONTENT
}
