package org.tarragonlug.peer;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.databind.BeanProperty;
import com.fasterxml.jackson.databind.DeserializationContext;
import com.fasterxml.jackson.databind.JavaType;
import com.fasterxml.jackson.databind.JsonDeserializer;
import com.fasterxml.jackson.databind.JsonSerializer;
import com.fasterxml.jackson.databind.SerializerProvider;
import com.fasterxml.jackson.databind.deser.ContextualDeserializer;
import com.fasterxml.jackson.databind.module.SimpleModule;
import java.io.IOException;
import java.util.Optional;

/** Encodes an empty optional as null, and decodes null or a missing field as an empty optional. */
final class OptionalModule extends SimpleModule {
    private static final long serialVersionUID = 1L;

    OptionalModule() {
        addSerializer(Optional.class, new Writer());
        addDeserializer(Optional.class, new Reader(null));
    }

    @SuppressWarnings("rawtypes")
    private static final class Writer extends JsonSerializer<Optional> {
        @Override
        public void serialize(Optional value, JsonGenerator generator, SerializerProvider provider)
                throws IOException {
            generator.writeObject(value.isPresent() ? value.get() : null);
        }

        @Override
        public boolean isEmpty(SerializerProvider provider, Optional value) {
            return value.isEmpty();
        }
    }

    @SuppressWarnings("rawtypes")
    private static final class Reader extends JsonDeserializer<Optional>
            implements ContextualDeserializer {
        private final JavaType content;

        Reader(JavaType content) {
            this.content = content;
        }

        @Override
        public JsonDeserializer<?> createContextual(
                DeserializationContext context, BeanProperty property) {
            JavaType type = property == null ? context.getContextualType() : property.getType();
            return new Reader(type.containedTypeOrUnknown(0));
        }

        @Override
        public Optional deserialize(JsonParser parser, DeserializationContext context)
                throws IOException {
            Object value = context.readValue(parser, content);
            return Optional.of(value);
        }

        @Override
        public Optional getNullValue(DeserializationContext context) {
            return Optional.empty();
        }
    }
}
