package org.tarragonlug.http;

import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;

/**
 * A connection to a server without a network: what it has carried, and what becomes of heads that
 * arrive on it. It decides with the classes that {@link FramingGuard} decides with.
 */
public final class ModelConnection {
    /** What becomes of a head that arrives. */
    public enum Reception {
        ANSWERS_THE_CALL,
        SKIPPED,
        CLOSES
    }

    private final String address;
    private final int port;
    private final CarriedCalls carriedCalls = new CarriedCalls();
    private Optional<AnswerName> currentName = Optional.empty();
    private int earlierCalls;
    private boolean inUse;
    private boolean open = true;

    /** Whether the beginning of a late head has arrived that is not complete. */
    private boolean partOfHead;

    /** Whether bytes have arrived together with the end of the answer. */
    private boolean bytesAfterAnswer;

    /** Creates an open connection that has carried nothing. */
    public ModelConnection(String address, int port) {
        this.address = address;
        this.port = port;
    }

    public String address() {
        return address;
    }

    public int port() {
        return port;
    }

    public boolean isOpen() {
        return open;
    }

    public boolean isIdle() {
        return open && !inUse;
    }

    public boolean hasPartOfHead() {
        return partOfHead;
    }

    /** Returns whether {@link FramingGuard#mayCarry} allows the call. */
    public boolean mayCarry(AnswerName name) {
        return !carriedCalls.mayContain(Optional.of(name));
    }

    /** Begins a call and returns the number of earlier ones. */
    public int begin(AnswerName name) {
        earlierCalls = carriedCalls.count();
        carriedCalls.add(Optional.of(name));
        currentName = Optional.of(name);
        inUse = true;
        return earlierCalls;
    }

    /** Receives a complete head; bytes while no call is in progress close the connection. */
    public Reception receive(int status, Map<String, String> headers) {
        partOfHead = false;
        if (!inUse) {
            open = false;
            return Reception.CLOSES;
        }
        AnswerFilter filter = new AnswerFilter();
        filter.begin(earlierCalls == 0 ? Optional.empty() : currentName, skipped -> {});
        StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " Status\r\n");
        headers.forEach((name, value) -> head.append(name + ": " + value + "\r\n"));
        byte[] bytes = head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1);
        return switch (filter.addHead(Unpooled.wrappedBuffer(bytes), true)) {
            case SKIP -> Reception.SKIPPED;
            case INVALID -> Reception.CLOSES;
            default -> Reception.ANSWERS_THE_CALL;
        };
    }

    /** Receives the beginning of a head; the next head then joins it unless the rest comes. */
    public void receivePartOfHead() {
        partOfHead = inUse;
        open = inUse;
    }

    /** Receives bytes together with the end of the answer that comes next. */
    public void receiveBytesAfterAnswer() {
        bytesAfterAnswer = true;
    }

    /** Ends the call in progress; the connection stays open if it may be used again. */
    public void end() {
        inUse = false;
        open = !bytesAfterAnswer && !carriedCalls.isFull();
    }

    public void close() {
        inUse = false;
        open = false;
    }
}
