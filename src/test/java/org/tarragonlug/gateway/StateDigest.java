package org.tarragonlug.gateway;

import com.dynatrace.hash4j.hashing.HashStream128;
import com.dynatrace.hash4j.hashing.HashValue128;
import com.dynatrace.hash4j.hashing.Hashing;
import java.io.ByteArrayOutputStream;
import java.lang.reflect.Array;
import java.lang.reflect.Field;
import java.lang.reflect.Modifier;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A hash of everything that can be reached from an object: the values of all fields, and which
 * objects are the same. Two states of one digest therefore behave alike, except for a collision of
 * 128 bits. The order of collections and maps counts, so equal states may have different digests,
 * which costs time only. A class of a library whose content is not known is an error.
 */
final class StateDigest {
    private static final int EXPECTED_OBJECTS = 512;

    /**
     * Fields that are left out: two that the next event sets before it reads them, and the number
     * of events, which the explorer adds itself.
     */
    private static final Set<String> LEFT_OUT =
            Set.of(
                    "ForwardingCoordinator.commands",
                    "ForwardingCoordinator.handledAt",
                    "ExploredWorld.happened");

    private static final AtomicInteger LAST_TYPE = new AtomicInteger();

    private static final ClassValue<Type> TYPES =
            new ClassValue<>() {
                @Override
                protected Type computeValue(Class<?> type) {
                    return Type.of(type);
                }
            };

    /** The number and the fields of a class. */
    private record Type(int number, boolean isRecord, Field[] fields) {
        private static Type of(Class<?> type) {
            List<Field> fields = new ArrayList<>();
            for (Class<?> each = type; isOwn(each) && !type.isEnum(); ) {
                addFields(each, fields);
                each = each.getSuperclass();
            }
            Field[] all = fields.toArray(Field[]::new);
            return new Type(LAST_TYPE.incrementAndGet(), type.isRecord(), all);
        }
    }

    private final IdentityHashMap<Object, Integer> seen = new IdentityHashMap<>(EXPECTED_OBJECTS);
    private final HashStream128 hash = Hashing.murmur3_128().hashStream();

    private StateDigest() {}

    /** Returns the digest of an object and all that it refers to. */
    static HashValue128 of(Object root) {
        StateDigest digest = new StateDigest();
        digest.add(root);
        return digest.hash.get();
    }

    private static void addFields(Class<?> type, List<Field> fields) {
        for (Field field : type.getDeclaredFields()) {
            boolean leftOut = LEFT_OUT.contains(type.getSimpleName() + "." + field.getName());
            if (!Modifier.isStatic(field.getModifiers()) && !leftOut) {
                field.setAccessible(true);
                fields.add(field);
            }
        }
    }

    private void add(Object value) {
        if (value == null) {
            hash.putInt(0);
        } else if (!addScalar(value)) {
            Type type = TYPES.get(value.getClass());
            // Records are values, so it does not matter whether two of them are the same.
            Integer number = type.isRecord() ? null : seen.putIfAbsent(value, seen.size() + 1);
            if (number != null) {
                hash.putInt(-number);
                return;
            }
            hash.putInt(type.number());
            addContent(value, type);
        }
    }

    private boolean addScalar(Object value) {
        if (value instanceof String text) {
            hash.putString(text);
        } else if (value instanceof Integer || value instanceof Long || value instanceof Short) {
            hash.putLong(((Number) value).longValue());
        } else if (value instanceof Byte number) {
            hash.putByte(number);
        } else if (value instanceof Double number) {
            hash.putLong(Double.doubleToRawLongBits(number));
        } else if (value instanceof Boolean truth) {
            hash.putBoolean(truth);
        } else if (value instanceof Enum<?> constant) {
            hash.putInt(TYPES.get(constant.getDeclaringClass()).number())
                    .putInt(constant.ordinal());
        } else if (value instanceof Instant time) {
            hash.putLong(time.getEpochSecond()).putInt(time.getNano());
        } else if (value instanceof Duration time) {
            hash.putLong(time.getSeconds()).putInt(time.getNano());
        } else {
            return false;
        }
        return true;
    }

    private void addContent(Object value, Type type) {
        if (value instanceof Map<?, ?> map) {
            hash.putInt(map.size());
            map.forEach(
                    (key, each) -> {
                        add(key);
                        add(each);
                    });
        } else if (value instanceof Collection<?> all) {
            hash.putInt(all.size());
            all.forEach(this::add);
        } else if (value instanceof Optional<?> optional) {
            add(optional.orElse(null));
        } else if (value instanceof OptionalInt || value instanceof OptionalLong) {
            hash.putString(value.toString());
        } else if (value instanceof ByteArrayOutputStream bytes) {
            hash.putByteArray(bytes.toByteArray());
        } else if (value.getClass().isArray()) {
            hash.putInt(Array.getLength(value));
            for (int index = 0; index < Array.getLength(value); index++) {
                add(Array.get(value, index));
            }
        } else if (!isOwn(value.getClass())) {
            throw new IllegalStateException("unknown content of " + value.getClass());
        }
        addFieldsOf(value, type);
    }

    private void addFieldsOf(Object value, Type type) {
        try {
            for (Field field : type.fields()) {
                add(field.get(value));
            }
        } catch (IllegalAccessException e) {
            throw new IllegalStateException(e);
        }
    }

    private static boolean isOwn(Class<?> type) {
        return type.getName().startsWith("org.tarragonlug.");
    }
}
