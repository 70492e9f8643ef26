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
    void onToken(int offset, String text);

    /**
     * Called once at the end of a whole answer.
     *
     * @param tokens number of tokens in the answer
     * @param checksum the engine's checksum over request and answer, hexadecimal
     */
    void onCompleted(int tokens, String checksum);

    /**
     * Called once if the generation ended otherwise.
     *
     * @param failure how
     * @param detail one line
     */
    void onFailed(AttemptFailure failure, String detail);
}
