package org.tarragonlug.standin;

import java.util.concurrent.CompletionStage;

/**
 * Answers the requests that a stand-in receives. A stage that never completes simulates a server
 * that does not answer.
 */
@FunctionalInterface
interface StandInHandler {
    CompletionStage<StandInReply> handle(StandInRequest request);
}
