package org.tarragonlug.standin;

import java.util.concurrent.CompletionStage;

/** Answers the requests of one stand-in; a stage that never completes is a silent server. */
@FunctionalInterface
interface StandInHandler {
    CompletionStage<StandInReply> handle(StandInRequest request);
}
