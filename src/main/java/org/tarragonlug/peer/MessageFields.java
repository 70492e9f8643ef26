package org.tarragonlug.peer;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import org.msgpack.value.Value;

/**
 * The fields of a MessagePack map. Unknown fields are ignored, and missing lists are empty. Other
 * missing fields, and fields of another type, cause an {@link IllegalArgumentException}.
 */
final class MessageFields {
    private final Map<String, Value> values = new HashMap<>();

    /**
     * Reads the fields of a map.
     *
     * @throws IllegalArgumentException if the value is not a map whose keys are strings
     */
    MessageFields(Value map) {
        if (!map.isMapValue()) {
            throw new IllegalArgumentException("the value is not a map");
        }
        for (Map.Entry<Value, Value> field : map.asMapValue().entrySet()) {
            if (!field.getKey().isStringValue()) {
                throw new IllegalArgumentException("a key is not a string");
            }
            values.put(field.getKey().asStringValue().asString(), field.getValue());
        }
    }

    private Optional<Value> find(String name) {
        return Optional.ofNullable(values.get(name)).filter(value -> !value.isNilValue());
    }

    /** Returns a value of any type; empty if the field is missing. */
    Optional<Value> value(String name) {
        return find(name);
    }

    Value require(String name) {
        return find(name)
                .orElseThrow(() -> new IllegalArgumentException("field " + name + " is missing"));
    }

    String text(String name) {
        return text(name, require(name));
    }

    /** Returns a string; empty if the field is missing. */
    String textOrEmpty(String name) {
        return find(name).map(value -> text(name, value)).orElse("");
    }

    Optional<String> optionalText(String name) {
        return find(name).map(value -> text(name, value));
    }

    private static String text(String name, Value value) {
        if (!value.isStringValue()) {
            throw new IllegalArgumentException("field " + name + " is not a string");
        }
        return value.asStringValue().asString();
    }

    long number(String name) {
        return number(name, require(name));
    }

    /** Returns a number; 0 if the field is missing. */
    long numberOrZero(String name) {
        return find(name).map(value -> number(name, value)).orElse(0L);
    }

    private static long number(String name, Value value) {
        if (!value.isIntegerValue() || !value.asIntegerValue().isInLongRange()) {
            throw new IllegalArgumentException("field " + name + " is not an integer");
        }
        return value.asIntegerValue().asLong();
    }

    int smallNumber(String name) {
        return Math.toIntExact(number(name));
    }

    /** Returns a number; 0 if the field is missing. */
    int smallNumberOrZero(String name) {
        return find(name).map(value -> Math.toIntExact(number(name, value))).orElse(0);
    }

    double decimal(String name) {
        Value value = require(name);
        if (!value.isNumberValue()) {
            throw new IllegalArgumentException("field " + name + " is not a number");
        }
        return value.asNumberValue().toDouble();
    }

    /** Returns a Boolean; false if the field is missing. */
    boolean flag(String name) {
        Optional<Value> value = find(name);
        if (value.isEmpty()) {
            return false;
        }
        if (!value.get().isBooleanValue()) {
            throw new IllegalArgumentException("field " + name + " is not a Boolean");
        }
        return value.get().asBooleanValue().getBoolean();
    }

    /** Returns a duration, which is written in milliseconds. */
    Duration duration(String name) {
        return Duration.ofMillis(number(name));
    }

    /** Returns the constant of an enum whose name the field has. */
    <E extends Enum<E>> E constant(String name, Class<E> type) {
        return Enum.valueOf(type, text(name));
    }

    <T> List<T> list(String name, Function<MessageFields, T> reader) {
        return elements(name, element -> reader.apply(new MessageFields(element)));
    }

    /** Returns a list of strings; empty if the field is missing. */
    <T> List<T> texts(String name, Function<String, T> reader) {
        return elements(name, element -> reader.apply(text(name, element)));
    }

    private <T> List<T> elements(String name, Function<Value, T> reader) {
        Optional<Value> value = find(name);
        if (value.isEmpty()) {
            return List.of();
        }
        if (!value.get().isArrayValue()) {
            throw new IllegalArgumentException("field " + name + " is not an array");
        }
        List<T> list = new ArrayList<>();
        for (Value element : value.get().asArrayValue()) {
            list.add(reader.apply(element));
        }
        return list;
    }

    <T> Optional<T> optional(String name, Function<MessageFields, T> reader) {
        return find(name).map(value -> reader.apply(new MessageFields(value)));
    }

    /** Returns a map from keys to numbers; empty if the field is missing. */
    <K> Map<K, Integer> counts(String name, Function<String, K> keyReader) {
        Map<K, Integer> counts = new HashMap<>();
        find(name)
                .map(MessageFields::new)
                .ifPresent(
                        fields ->
                                fields.values
                                        .keySet()
                                        .forEach(
                                                key ->
                                                        counts.put(
                                                                keyReader.apply(key),
                                                                fields.smallNumber(key))));
        return counts;
    }
}
