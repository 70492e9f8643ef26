package org.tarragonlug.soak;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InterruptedIOException;
import java.io.OutputStream;
import java.io.PushbackInputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.Arrays;
import java.util.Optional;
import java.util.concurrent.locks.ReentrantLock;
import org.tarragonlug.id.RequestId;
import org.tarragonlug.platform.RequestHeaders;

/**
 * A connection of a {@link SoakServer}. It serves one request at a time; {@link AnswerCopies} sends
 * answers once more.
 */
final class ServerConnection {
    private static final int LONGEST_IDLE_MILLIS = 60_000;
    private static final int EVENT_PAUSE_MILLIS = 20;
    private static final int MISDIRECTED = 421;
    private static final int UNAVAILABLE = 503;

    private final SoakServer server;
    private final Socket socket;
    private final PushbackInputStream input;
    private final OutputStream output;
    private final ReentrantLock answering = new ReentrantLock();
    private final AnswerCopies copies;

    /** The request that is being served. */
    private ServerArrival arrival;

    /** The last event that the caller of a stream already has. */
    private int lastEvent;

    /** Whether the server lacks the model or the adapter that the request is for. */
    private boolean isModelAbsent;

    /** Whether the server has reserved a slot for the request. */
    private boolean reserved;

    ServerConnection(SoakServer server, Socket socket) throws IOException {
        this.server = server;
        this.socket = socket;
        this.input = new PushbackInputStream(new BufferedInputStream(socket.getInputStream()));
        this.output = socket.getOutputStream();
        this.copies = new AnswerCopies(server, socket, output, answering);
        socket.setTcpNoDelay(true);
    }

    /** Serves requests until the connection ends. */
    void serve() throws IOException {
        Treatment.End end = Treatment.End.KEEP;
        while (end == Treatment.End.KEEP) {
            socket.setSoTimeout(LONGEST_IDLE_MILLIS);
            MessageHead head = MessageHead.read(input);
            boolean isControl = head.header(RequestHeaders.REQUEST_ID).isEmpty();
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            MessageBody.read(
                    head, false, input, isControl ? body : OutputStream.nullOutputStream());
            awaitMoving();
            end = answer(head, body.toByteArray());
        }
        if (end == Treatment.End.RESET) {
            SoakServer.reset(socket);
        }
    }

    private void awaitMoving() throws IOException {
        try {
            server.awaitMoving();
        } catch (InterruptedException stopped) {
            throw new InterruptedIOException("the server is being stopped");
        }
    }

    private Treatment.End answer(MessageHead head, byte[] body) throws IOException {
        String path = head.startPart(1);
        String expected = head.header(RequestHeaders.EXPECT_INSTANCE);
        String name = head.header(RequestHeaders.REQUEST_ID);
        boolean misdirected = !expected.isEmpty() && !expected.equals(server.id);
        if (name.isEmpty()) {
            write(ServerAnswers.control(server, path, body, misdirected));
            return Treatment.End.KEEP;
        }
        RequestId id = new RequestId(name);
        Treatment drawn = server.nextTreatment(misdirected);
        arrival = arrival(id, head);
        copies.onRequest(arrival);
        String received = head.header("last-event-id");
        lastEvent = received.isEmpty() ? 0 : Integer.parseInt(received);
        isModelAbsent = server.lacks(head.header(RequestHeaders.MODEL));
        reserved = !head.header(RequestHeaders.RESERVATION).isEmpty();
        boolean mayRefuse = lastEvent > 0 && !misdirected && !reserved;
        Optional<ResumptionRefusal> refusal =
                mayRefuse ? drawn.stream().refusal() : Optional.empty();
        Treatment treatment = refusal.map(drawn::asResumption).orElse(drawn);
        byte[] answer;
        if (misdirected) {
            answer = misdirected(id, treatment);
        } else {
            refusal.ifPresent(each -> server.counts.resumptions(each).incrementAndGet());
            answer =
                    refusal.filter(each -> !each.isRun()).isPresent()
                            ? refuseResumption(id, refusal.get())
                            : answerOrRun(id, treatment);
        }
        if (answer.length > 0 && treatment.copy().isPresent()) {
            CopyForm form = treatment.copy().get();
            copies.onAnswered(id, answer, form, treatment.copyDelayMillis());
        } else {
            copies.onAnswered();
        }
        return treatment.outcome() == Treatment.Outcome.BROKEN_OFF && !treatment.refused()
                ? Treatment.End.RESET
                : endLater(treatment);
    }

    private byte[] refuseResumption(RequestId id, ResumptionRefusal refusal) throws IOException {
        byte[] answer = refusal.answer(server, id);
        long now = SoakClock.millis();
        if (answer.length == 0) {
            server.checker.onClosed(arrival, now);
            return answer;
        }
        server.checker.onRefused(arrival, UNAVAILABLE, now);
        return write(answer);
    }

    private ServerArrival arrival(RequestId id, MessageHead head) {
        String remaining = head.header(RequestHeaders.DEADLINE);
        long remainingMillis = remaining.isEmpty() ? 0 : Long.parseLong(remaining);
        return new ServerArrival(id, server.id, socket.getPort(), remainingMillis);
    }

    private Treatment.End endLater(Treatment treatment) throws IOException {
        if (treatment.end() != Treatment.End.KEEP && treatment.endDelayMillis() > 0) {
            isPeerGone((int) treatment.endDelayMillis());
        }
        return treatment.end();
    }

    private byte[] misdirected(RequestId id, Treatment treatment) throws IOException {
        server.counts.misdirected.incrementAndGet();
        server.checker.onRefused(arrival, MISDIRECTED, SoakClock.millis());
        return write(ServerAnswers.misdirected(server, id), treatment);
    }

    /** Returns the bytes of the answer if they may be copied. */
    private byte[] answerOrRun(RequestId id, Treatment treatment) throws IOException {
        server.pause(treatment.pauseMillis());
        long pause = server.pauseMillis();
        if (isModelAbsent) {
            return refuse(id, RefusalKind.MODEL_ABSENT, treatment, 0);
        }
        boolean full = server.running.incrementAndGet() > server.listing.slots();
        if (!reserved && (full || treatment.refused() || pause > 0)) {
            server.running.decrementAndGet();
            return refuse(id, treatment.refusal(), treatment, pause);
        }
        server.counts.runs.incrementAndGet();
        server.checker.onBegun(arrival, server.service, SoakClock.millis());
        RunEnd end = RunEnd.WITHDRAWN;
        try {
            byte[] answer = run(id, treatment);
            end = treatment.runEnd();
            return answer;
        } finally {
            server.running.decrementAndGet();
            reportEnd(end);
        }
    }

    private byte[] refuse(RequestId id, RefusalKind kind, Treatment treatment, long pause)
            throws IOException {
        server.counts.refusals.incrementAndGet();
        server.checker.onRefused(arrival, kind.status(), SoakClock.millis());
        return write(ServerAnswers.refusal(server, id, kind, pause), treatment);
    }

    private void reportEnd(RunEnd end) {
        if (server.isClosed()) {
            server.checker.onRunEnded(arrival, RunEnd.BROKEN_OFF, server.closedMillis());
        } else {
            server.checker.onRunEnded(arrival, end, SoakClock.millis());
        }
    }

    private byte[] run(RequestId id, Treatment treatment) throws IOException {
        if (isPeerGone((int) treatment.workMillis() + 1)) {
            throw new EOFException("the gateway has withdrawn the request");
        }
        if (treatment.outcome() == Treatment.Outcome.FAILED) {
            return write(ServerAnswers.failed(server, id), treatment);
        }
        boolean whole = treatment.outcome() == Treatment.Outcome.WHOLE;
        if (server.service.equals(RequestKind.ASK.service())) {
            stream(id, treatment, whole);
            return new byte[0];
        }
        byte[] answer = ServerAnswers.success(server, id);
        return whole ? write(answer, treatment) : write(Arrays.copyOf(answer, answer.length / 2));
    }

    private void stream(RequestId id, Treatment treatment, boolean whole) throws IOException {
        answering.lock();
        try {
            output.write(ServerAnswers.streamHead(server, id));
            server.checker.onStreamBegun(arrival, SoakClock.millis());
            int count = AnswerContent.eventCount(id);
            int last = whole ? count : count / 2;
            for (int number = lastEvent + 1; number <= last; number++) {
                if (isPeerGone(pauseBefore(number, treatment.stream()))) {
                    throw new EOFException("the gateway has ended the stream");
                }
                output.write(ServerAnswers.chunk(AnswerContent.event(id, number)));
            }
            if (whole) {
                output.write(ServerAnswers.chunk(""));
            }
        } finally {
            answering.unlock();
        }
    }

    private int pauseBefore(int event, StreamTreatment treatment) {
        if (event != treatment.silentBeforeEvent()) {
            return EVENT_PAUSE_MILLIS;
        }
        server.counts.silences.incrementAndGet();
        return treatment.silenceMillis();
    }

    /** Waits, and returns sooner with true if the peer closes the connection meanwhile. */
    private boolean isPeerGone(int waitMillis) throws IOException {
        socket.setSoTimeout(waitMillis);
        try {
            int next = input.read();
            if (next >= 0) {
                input.unread(next);
            }
            return next < 0;
        } catch (SocketTimeoutException stillThere) {
            return false;
        }
    }

    /** Writes an answer, with its copy if both come in one write; returns the answer. */
    private byte[] write(byte[] answer, Treatment treatment) throws IOException {
        write(treatment.copy().map(form -> form.firstWrite(answer)).orElse(answer));
        return answer;
    }

    private byte[] write(byte[] answer) throws IOException {
        answering.lock();
        try {
            output.write(answer);
            return answer;
        } finally {
            answering.unlock();
        }
    }
}
