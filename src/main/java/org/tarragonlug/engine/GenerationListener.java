package org.tarragonlug.engine;

import org.tarragonlug.decision.request.AttemptFailure;

/** Observer of one generation; called in order, on any thread. */
public interface GenerationListener {
    /**
     * Called for each token.
     *
     * @param offset position of the token in the answer, from 0
     * @param text its text
     */
    void token(int offset, String text);

    /**
     * Called once at the end of a whole answer.
     *
     * @param tokens number of tokens in the answer
     * @param checksum the engine's checksum over request and answer, hexadecimal
     */
    void completed(int tokens, String checksum);

    /**
     * Called once if the generation ended otherwise.
     *
     * @param failure how
     * @param detail one line
     */
    void failed(AttemptFailure failure, String detail);
}
