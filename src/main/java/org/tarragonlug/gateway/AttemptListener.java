package org.tarragonlug.gateway;

import java.util.Map;
import java.util.Optional;
import org.tarragonlug.decision.forwarding.AnswerProgress;
import org.tarragonlug.decision.forwarding.Rejection;
import org.tarragonlug.decision.forwarding.ReportedLoad;
import org.tarragonlug.decision.forwarding.ServerNotice;
import org.tarragonlug.http.CallPosition;
import org.tarragonlug.http.HttpBody;
import org.tarragonlug.http.SkippedAnswer;

/** Receives the outcome of one attempt of a request at a server. Called on the event loop. */
interface AttemptListener {
    /** Asked just before the request is written: whether the server may still get it. */
    boolean maySend();

    /**
     * Called once, when the request is written.
     *
     * @param position its place on its connection
     */
    default void onSent(CallPosition position) {}

    /**
     * Called if the server did not run the request.
     *
     * @param rejection why the server did not run it
     * @param namesRequest whether the rejection carries the id of the request
     * @param load the load that the server stated, if any
     */
    void onRejected(Rejection rejection, boolean namesRequest, Optional<ReportedLoad> load);

    /**
     * Called before the other methods if the server says something about itself with its answer.
     *
     * @param notice what the server says
     */
    void onServerNotice(ServerNotice notice);

    /**
     * Called when the head of a streamed answer has been received and accepted.
     *
     * @param headers headers of the answer, names in lower case
     * @param load the load that the server stated, if any
     */
    void onStreamStarted(Map<String, String> headers, Optional<ReportedLoad> load);

    /**
     * Called for each complete event of a stream.
     *
     * @param bytes the event as received, including its terminating empty line
     * @param id the event's id; greater than that of any event before
     */
    void onStreamEvent(byte[] bytes, long id);

    /** Called when a streamed answer is complete. */
    void onStreamCompleted(Optional<ReportedLoad> load);

    /**
     * Called when an answer that is no stream is complete.
     *
     * @param status HTTP status
     * @param headers headers of the answer, names in lower case
     * @param body the complete body
     * @param load the load that the server stated, if any
     */
    void onAnswered(
            int status, Map<String, String> headers, HttpBody body, Optional<ReportedLoad> load);

    /**
     * Called when an answer is complete by whose status a caller would learn that the request has
     * not run, without the server's statement of that. The request may have run.
     *
     * @param status HTTP status
     * @param load the load that the server stated, if any
     */
    void onAnsweredAmbiguously(int status, Optional<ReportedLoad> load);

    /**
     * Called if the answer was cut off, is invalid or belongs to another request. The request may
     * have run.
     *
     * @param progress how much of the answer had arrived
     * @param detail the cause, for the log
     */
    void onBroken(AnswerProgress progress, String detail);

    /** Called if a late answer to another request was skipped before the answer to this one. */
    default void onAnswerSkipped(SkippedAnswer skipped) {}

    /** Called before {@link #onBroken} if the server went on with a second answer. */
    default void onSecondAnswer() {}
}
