package org.tarragonlug.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Recognises late answers to other calls where the answer to the call in progress is due, and
 * counts what is skipped of them.
 *
 * <p>A head is kept back until it is complete, because only then it is known which call it names. A
 * head that names no call is handed on; the caller of the HTTP client decides about it. If an
 * answer breaks off, the bytes of the next one seem to belong to it. Therefore an answer cannot be
 * skipped if the beginning of a head occurs in its body.
 */
final class AnswerFilter {
    /** Largest number of answers that are skipped during one call. */
    private static final int MAX_SKIPPED_ANSWERS = 16;

    /** Largest number of bytes that are skipped during one call. */
    private static final long MAX_SKIPPED_BYTES = 8 * 1024 * 1024;

    /** What to do with the bytes that are kept back. */
    enum Verdict {
        KEEP,
        HAND_ON,
        SKIP,
        INVALID
    }

    private final HeadBeginnings beginnings = new HeadBeginnings();
    private Optional<AnswerName> name = Optional.empty();
    private Consumer<SkippedAnswer> skippedAction = skipped -> {};
    private ByteBuf kept = Unpooled.buffer();
    private int skippedAnswers;
    private long skippedBytes;
    private String skippedCall = "";
    private int status;
    private long answerBytes;

    /**
     * Prepares for the answer to a new call.
     *
     * @param callName by what the answer names the call; empty to hand on everything
     * @param action receives each answer that was skipped because it names another call
     */
    void begin(Optional<AnswerName> callName, Consumer<SkippedAnswer> action) {
        name = callName;
        skippedAction = action;
        kept = Unpooled.buffer();
        skippedAnswers = 0;
        skippedBytes = 0;
    }

    /**
     * Adds a part of a head.
     *
     * @param complete whether the head ends with this part
     */
    Verdict addHead(ByteBuf part, boolean complete) {
        kept.writeBytes(part, part.readerIndex(), part.readableBytes());
        if (name.isEmpty() || !AnswerHead.mayBegin(kept)) {
            return Verdict.HAND_ON;
        }
        return complete ? verdict(new AnswerHead(kept)) : Verdict.KEEP;
    }

    private Verdict verdict(AnswerHead head) {
        List<String> names = head.values(name.get().header());
        if (!head.isFinal() || names.isEmpty()) {
            return Verdict.HAND_ON;
        }
        if (names.size() > 1) {
            return Verdict.INVALID;
        }
        return names.contains(name.get().value()) ? Verdict.HAND_ON : Verdict.SKIP;
    }

    /** Returns the bytes that were kept back, and keeps them no longer. */
    ByteBuf take() {
        ByteBuf taken = kept;
        kept = Unpooled.buffer();
        return taken;
    }

    /** Begins to skip the answer whose head was kept back, and returns that head. */
    AnswerHead startSkipping() {
        ByteBuf bytes = take();
        AnswerHead head = new AnswerHead(bytes);
        skippedCall = head.value(name.get().header());
        status = head.status();
        answerBytes = bytes.readableBytes();
        skippedBytes += answerBytes;
        beginnings.reset();
        return head;
    }

    /** Skips a part of a body. */
    void skipBody(ByteBuf part) {
        answerBytes += part.readableBytes();
        skippedBytes += part.readableBytes();
        beginnings.follow(part);
    }

    /** Returns whether the skipped body contains the beginning of another answer. */
    boolean hasAnswerWithin() {
        return beginnings.count() > 0;
    }

    /** Returns whether more answers or bytes were skipped than one call may skip. */
    boolean exceedsLimits() {
        return skippedAnswers > MAX_SKIPPED_ANSWERS || skippedBytes > MAX_SKIPPED_BYTES;
    }

    /** Records that the answer that is being skipped is complete. */
    void endSkipping() {
        skippedAnswers++;
        skippedAction.accept(new SkippedAnswer(skippedCall, status, answerBytes));
    }
}
