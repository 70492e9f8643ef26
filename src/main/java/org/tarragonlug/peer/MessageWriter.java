package org.tarragonlug.peer;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiConsumer;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;

/**
 * Writes MessagePack maps field by field. The number of fields is not known in advance, so a map is
 * written to a buffer of its own and put behind its header. All elements of a list share one such
 * buffer, since a message of the planner has dozens of them.
 */
final class MessageWriter {
    /** Size of the first buffer of a message, for which most messages are short enough. */
    private static final int MESSAGE_BUFFER_BYTES = 1024;

    /** Size of the first buffer of an element of a list. */
    private static final int ELEMENT_BUFFER_BYTES = 256;

    private final MessageBufferPacker packer;
    private int fields;

    MessageWriter() {
        this(MESSAGE_BUFFER_BYTES);
    }

    private MessageWriter(int bufferBytes) {
        packer = packer(bufferBytes);
    }

    private static MessageBufferPacker packer(int bufferBytes) {
        return new MessagePack.PackerConfig().withBufferSize(bufferBytes).newBufferPacker();
    }

    /** Returns the map with all fields that were written. */
    byte[] toBytes() {
        try (MessageBufferPacker whole = packer(MESSAGE_BUFFER_BYTES)) {
            moveTo(whole);
            return whole.toByteArray();
        } catch (IOException impossible) {
            throw failure(impossible);
        }
    }

    /** Appends the map to another one, and begins a new map with the same buffer. */
    private void moveTo(MessageBufferPacker target) throws IOException {
        target.packMapHeader(fields);
        target.writePayload(packer.toByteArray());
        packer.clear();
        fields = 0;
    }

    private static UncheckedIOException failure(IOException cause) {
        return new UncheckedIOException("writing to memory failed", cause);
    }

    private void name(String name) throws IOException {
        fields++;
        packer.packString(name);
    }

    MessageWriter text(String name, Object value) {
        try {
            name(name);
            packer.packString(value.toString());
        } catch (IOException impossible) {
            throw failure(impossible);
        }
        return this;
    }

    MessageWriter number(String name, long value) {
        try {
            name(name);
            packer.packLong(value);
        } catch (IOException impossible) {
            throw failure(impossible);
        }
        return this;
    }

    MessageWriter decimal(String name, double value) {
        try {
            name(name);
            packer.packDouble(value);
        } catch (IOException impossible) {
            throw failure(impossible);
        }
        return this;
    }

    MessageWriter flag(String name, boolean value) {
        try {
            name(name);
            packer.packBoolean(value);
        } catch (IOException impossible) {
            throw failure(impossible);
        }
        return this;
    }

    MessageWriter duration(String name, Duration value) {
        return number(name, value.toMillis());
    }

    /** Writes a list; an empty one is left out. */
    <T> MessageWriter list(String name, List<T> values, BiConsumer<MessageWriter, T> writer) {
        if (values.isEmpty()) {
            return this;
        }
        try {
            name(name);
            packer.packArrayHeader(values.size());
            MessageWriter element = new MessageWriter(ELEMENT_BUFFER_BYTES);
            for (T value : values) {
                writer.accept(element, value);
                element.moveTo(packer);
            }
        } catch (IOException impossible) {
            throw failure(impossible);
        }
        return this;
    }

    /** Writes a list of strings; an empty one is left out. */
    MessageWriter texts(String name, List<?> values) {
        if (values.isEmpty()) {
            return this;
        }
        try {
            name(name);
            packer.packArrayHeader(values.size());
            for (Object value : values) {
                packer.packString(value.toString());
            }
        } catch (IOException impossible) {
            throw failure(impossible);
        }
        return this;
    }

    /** Writes a value with fields of its own; an empty one is left out. */
    <T> MessageWriter optional(
            String name, Optional<T> value, BiConsumer<MessageWriter, T> writer) {
        if (value.isEmpty()) {
            return this;
        }
        try {
            name(name);
            MessageWriter element = new MessageWriter();
            writer.accept(element, value.get());
            packer.writePayload(element.toBytes());
        } catch (IOException impossible) {
            throw failure(impossible);
        }
        return this;
    }

    /** Writes a value as an array of numbers and counts; an empty one is left out. */
    <T> MessageWriter array(String name, Optional<T> value, BiConsumer<MessageWriter, T> writer) {
        if (value.isEmpty()) {
            return this;
        }
        try {
            name(name);
            MessageWriter elements = new MessageWriter();
            writer.accept(elements, value.get());
            packer.packArrayHeader(elements.fields);
            packer.writePayload(elements.packer.toByteArray());
        } catch (IOException impossible) {
            throw failure(impossible);
        }
        return this;
    }

    /** Writes a number as the next element of an array. */
    MessageWriter element(long value) {
        try {
            fields++;
            packer.packLong(value);
        } catch (IOException impossible) {
            throw failure(impossible);
        }
        return this;
    }

    /** Writes a map from keys to numbers as the next element of an array. */
    <K> MessageWriter element(Map<K, Integer> counts) {
        try {
            fields++;
            packCounts(counts);
        } catch (IOException impossible) {
            throw failure(impossible);
        }
        return this;
    }

    /** Writes a map from keys to numbers; an empty one is left out. */
    <K> MessageWriter counts(String name, Map<K, Integer> counts) {
        if (counts.isEmpty()) {
            return this;
        }
        try {
            name(name);
            packCounts(counts);
        } catch (IOException impossible) {
            throw failure(impossible);
        }
        return this;
    }

    private <K> void packCounts(Map<K, Integer> counts) throws IOException {
        packer.packMapHeader(counts.size());
        for (Map.Entry<K, Integer> count : counts.entrySet()) {
            packer.packString(count.getKey().toString());
            packer.packInt(count.getValue());
        }
    }
}
