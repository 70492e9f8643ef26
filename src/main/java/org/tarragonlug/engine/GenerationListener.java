package org.tarragonlug.engine;

import org.tarragonlug.decision.request.AttemptFailure;

/** Receives the tokens and the end of one generation. Calls are in order, on any thread. */
public interface GenerationListener {
    /**
     * Called for each token.
     *
     * @param offset position of the token in the answer, from 0
     * @param text text of the token
     */
    void onToken(int offset, String text);

    /**
     * Called once when the answer is complete.
     *
     * @param tokens number of tokens in the answer
     * @param checksum the engine's checksum over request and answer, hexadecimal
     */
    void onCompleted(int tokens, String checksum);

    /**
     * Called once if the generation ended without a complete answer.
     *
     * @param failure kind of failure
     * @param detail description of the failure, one line
     */
    void onFailed(AttemptFailure failure, String detail);
}
