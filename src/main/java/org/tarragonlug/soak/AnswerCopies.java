package org.tarragonlug.soak;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.ReentrantLock;
import org.tarragonlug.id.RequestId;

/**
 * The copies of answers that a connection of a server sends. They are written between answers only:
 * the lock is held from the first byte of an answer to its last.
 */
final class AnswerCopies {
    private static final int PART_PAUSE_MILLIS = 15;

    /** An answer that may be copied. */
    private record Copy(RequestId id, byte[] answer) {}

    private final SoakServer server;
    private final Socket socket;
    private final OutputStream output;
    private final ReentrantLock answering;

    /** The request that waits for its answer; null if there is none. */
    private ServerArrival waiting;

    /** The request whose answer was copied since the last request; null if there is none. */
    private RequestId copiedWhileIdle;

    /** The copy that is sent when the next request has arrived. */
    private Optional<Copy> afterNextRequest = Optional.empty();

    /**
     * Creates the copies of a connection.
     *
     * @param server the server
     * @param socket the connection
     * @param output receives answers and copies
     * @param answering is held while an answer or a copy is written
     */
    AnswerCopies(SoakServer server, Socket socket, OutputStream output, ReentrantLock answering) {
        this.server = server;
        this.socket = socket;
        this.output = output;
        this.answering = answering;
    }

    /** A request has arrived. */
    void onRequest(ServerArrival arrival) throws IOException {
        answering.lock();
        try {
            if (copiedWhileIdle != null) {
                // The request and the copy have crossed, since gateways use no connection on
                // which bytes have arrived between two requests.
                countMeeting(copiedWhileIdle, arrival);
            }
            copiedWhileIdle = null;
            waiting = arrival;
            if (afterNextRequest.isPresent()) {
                Copy copy = afterNextRequest.get();
                afterNextRequest = Optional.empty();
                write(copy, CopyForm.WHOLE);
                count(copy, CopyForm.AFTER_NEXT_REQUEST);
            }
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
        } finally {
            answering.unlock();
        }
    }

    /**
     * A request has been answered.
     *
     * @param answer the bytes of the answer, without a copy
     * @param form how it is sent once more
     * @param delayMillis time until then, if the form has one
     */
    void onAnswered(RequestId id, byte[] answer, CopyForm form, long delayMillis) {
        Copy copy = new Copy(id, answer);
        answering.lock();
        try {
            waiting = null;
            if (form == CopyForm.TOGETHER) {
                count(copy, form);
            } else if (form == CopyForm.AFTER_NEXT_REQUEST) {
                afterNextRequest = Optional.of(copy);
            }
        } finally {
            answering.unlock();
        }
        if (form.isTimed()) {
            server.timers.schedule(() -> send(copy, form), delayMillis, TimeUnit.MILLISECONDS);
        }
    }

    /** A request has been answered, and the answer is not copied. */
    void onAnswered() {
        answering.lock();
        waiting = null;
        answering.unlock();
    }

    private void send(Copy copy, CopyForm form) {
        if (!answering.tryLock()) {
            return;
        }
        try {
            write(copy, form);
            count(copy, form);
            if (form == CopyForm.TWICE) {
                Thread.sleep(PART_PAUSE_MILLIS);
                write(copy, form);
                count(copy, form);
            }
            if (form == CopyForm.BEFORE_CLOSE) {
                socket.close();
            }
        } catch (IOException ended) {
            // The connection has ended, and the copy with it.
            return;
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
        } finally {
            answering.unlock();
        }
    }

    private void write(Copy copy, CopyForm form) throws IOException, InterruptedException {
        byte[] answer = copy.answer();
        int firstPart = form == CopyForm.DIVIDED ? answer.length / 2 : answer.length;
        output.write(answer, 0, firstPart);
        if (firstPart < answer.length) {
            Thread.sleep(PART_PAUSE_MILLIS);
            output.write(answer, firstPart, answer.length - firstPart);
        }
    }

    private void count(Copy copy, CopyForm form) {
        server.counts.copies(form).incrementAndGet();
        if (waiting == null) {
            copiedWhileIdle = copy.id();
        } else {
            countMeeting(copy.id(), waiting);
        }
    }

    private void countMeeting(RequestId copied, ServerArrival met) {
        server.checker.onCopyMet(copied, met, SoakClock.millis());
        if (copied.equals(met.id())) {
            server.counts.copiesBeforeSame.incrementAndGet();
        } else {
            server.counts.copiesBeforeOther.incrementAndGet();
        }
    }
}
