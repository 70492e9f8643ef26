package org.tarragonlug.soak;

import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;

/** Reads the body of an HTTP message as its head frames it. */
final class MessageBody {
    private static final int HEXADECIMAL = 16;

    private MessageBody() {}

    /**
     * Reads a body.
     *
     * @param head head of the message
     * @param unframed whether a body without length and chunks ends with the connection; else there
     *     is none
     * @param output receives what was read, also if the body is not complete
     * @throws IOException if the connection ends or is silent before the body is complete
     */
    static void read(MessageHead head, boolean unframed, InputStream input, OutputStream output)
            throws IOException {
        String length = head.header("content-length");
        if (head.header("transfer-encoding").equals("chunked")) {
            int size;
            do {
                size = Integer.parseInt(MessageHead.readLine(input), HEXADECIMAL);
                copy(size, input, output);
                MessageHead.readLine(input);
            } while (size > 0);
        } else if (!length.isEmpty()) {
            copy(Integer.parseInt(length), input, output);
        } else if (unframed) {
            input.transferTo(output);
        }
    }

    private static void copy(int size, InputStream input, OutputStream output) throws IOException {
        for (int number = 0; number < size; number++) {
            int next = input.read();
            if (next < 0) {
                throw new EOFException("the connection has ended within the body");
            }
            output.write(next);
        }
    }
}
