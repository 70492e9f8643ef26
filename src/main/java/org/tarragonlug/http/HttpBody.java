package org.tarragonlug.http;

import java.util.List;

/**
 * The content of an HTTP message, in parts as they were received. Large content is thus neither
 * collected into a growing array nor copied, each of which takes a multiple of its size.
 */
public final class HttpBody {
    /** A message without content. */
    public static final HttpBody EMPTY = new HttpBody(List.of());

    private final List<byte[]> parts;
    private final int length;

    private HttpBody(List<byte[]> parts) {
        this.parts = List.copyOf(parts);
        this.length = parts.stream().mapToInt(part -> part.length).sum();
    }

    /** Returns content in one part, which is not copied. */
    public static HttpBody of(byte[] content) {
        return content.length == 0 ? EMPTY : new HttpBody(List.of(content));
    }

    /** Returns content of several parts, which are not copied. */
    public static HttpBody of(List<byte[]> parts) {
        return new HttpBody(parts);
    }

    /** Returns the number of bytes. */
    public int length() {
        return length;
    }

    /** Returns the parts in their order; they must not be changed. */
    public List<byte[]> parts() {
        return parts;
    }

    /** Returns the content in one array, which is a copy unless there is one part only. */
    public byte[] toByteArray() {
        if (parts.size() == 1) {
            return parts.get(0);
        }
        byte[] content = new byte[length];
        int offset = 0;
        for (byte[] part : parts) {
            System.arraycopy(part, 0, content, offset, part.length);
            offset += part.length;
        }
        return content;
    }
}
