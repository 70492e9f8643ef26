package org.tarragonlug.peer;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.databind.DeserializationContext;
import com.fasterxml.jackson.databind.JsonDeserializer;
import com.fasterxml.jackson.databind.JsonSerializer;
import com.fasterxml.jackson.databind.KeyDeserializer;
import com.fasterxml.jackson.databind.SerializerProvider;
import com.fasterxml.jackson.databind.module.SimpleModule;
import java.io.IOException;
import java.time.DateTimeException;
import java.time.Duration;
import java.time.Instant;
import java.util.function.Function;
import org.tarragonlug.id.AccountName;
import org.tarragonlug.id.ArtifactId;
import org.tarragonlug.id.ConfigurationVersion;
import org.tarragonlug.id.FailureDomain;
import org.tarragonlug.id.Fingerprint;
import org.tarragonlug.id.InstanceId;
import org.tarragonlug.id.ModelKey;
import org.tarragonlug.id.OperationId;
import org.tarragonlug.id.OrderGroup;
import org.tarragonlug.id.PoolName;
import org.tarragonlug.id.ProcessId;
import org.tarragonlug.id.RequestTrait;
import org.tarragonlug.id.RouteName;
import org.tarragonlug.id.ServerGroup;
import org.tarragonlug.id.ServerId;
import org.tarragonlug.id.ServerIncarnation;
import org.tarragonlug.id.ServiceName;

/** Encodes ids as strings, versions as numbers, and instants and durations as milliseconds. */
final class IdModule extends SimpleModule {
    private static final long serialVersionUID = 1L;

    IdModule() {
        text(ArtifactId.class, ArtifactId::parse);
        text(FailureDomain.class, FailureDomain::new);
        text(Fingerprint.class, Fingerprint::new);
        text(InstanceId.class, InstanceId::new);
        text(OperationId.class, OperationId::new);
        text(PoolName.class, PoolName::new);
        text(ProcessId.class, ProcessId::new);
        text(RouteName.class, RouteName::new);
        text(ServerGroup.class, ServerGroup::new);
        text(ModelKey.class, ModelKey::parse);
        text(RequestTrait.class, RequestTrait::parse);
        text(ServerId.class, ServerId::new);
        text(ServerIncarnation.class, ServerIncarnation::parse);
        text(ServiceName.class, ServiceName::new);
        key(AccountName.class, AccountName::new);
        key(ServerId.class, ServerId::new);
        number(ConfigurationVersion.class, ConfigurationVersion::value, ConfigurationVersion::new);
        number(
                OrderGroup.class,
                group -> (long) group.number(),
                number -> new OrderGroup(Math.toIntExact(number)));
        number(Duration.class, Duration::toMillis, Duration::ofMillis);
        number(Instant.class, Instant::toEpochMilli, Instant::ofEpochMilli);
    }

    private <T> void text(Class<T> type, Function<String, T> parser) {
        addSerializer(
                type,
                new JsonSerializer<T>() {
                    @Override
                    public void serialize(
                            T value, JsonGenerator generator, SerializerProvider provider)
                            throws IOException {
                        generator.writeString(value.toString());
                    }
                });
        addDeserializer(
                type,
                new JsonDeserializer<T>() {
                    @Override
                    public T deserialize(JsonParser source, DeserializationContext context)
                            throws IOException {
                        if (source.currentToken() != JsonToken.VALUE_STRING) {
                            return type.cast(context.handleUnexpectedToken(type, source));
                        }
                        try {
                            return parser.apply(source.getText());
                        } catch (IllegalArgumentException e) {
                            return type.cast(
                                    context.handleWeirdStringValue(
                                            type, source.getText(), "%s", e.getMessage()));
                        }
                    }
                });
    }

    /** Registers an id as a key of maps; keys are written with {@code toString}. */
    private <T> void key(Class<T> type, Function<String, T> parser) {
        addKeyDeserializer(
                type,
                new KeyDeserializer() {
                    @Override
                    public Object deserializeKey(String text, DeserializationContext context)
                            throws IOException {
                        try {
                            return parser.apply(text);
                        } catch (IllegalArgumentException e) {
                            return context.handleWeirdKey(type, text, "%s", e.getMessage());
                        }
                    }
                });
    }

    private <T> void number(Class<T> type, Function<T, Long> writer, Function<Long, T> parser) {
        addSerializer(
                type,
                new JsonSerializer<T>() {
                    @Override
                    public void serialize(
                            T value, JsonGenerator generator, SerializerProvider provider)
                            throws IOException {
                        generator.writeNumber(writer.apply(value));
                    }
                });
        addDeserializer(
                type,
                new JsonDeserializer<T>() {
                    @Override
                    public T deserialize(JsonParser source, DeserializationContext context)
                            throws IOException {
                        if (source.currentToken() != JsonToken.VALUE_NUMBER_INT) {
                            return type.cast(context.handleUnexpectedToken(type, source));
                        }
                        try {
                            return parser.apply(source.getLongValue());
                        } catch (IllegalArgumentException
                                | ArithmeticException
                                | DateTimeException e) {
                            return type.cast(
                                    context.handleWeirdNumberValue(
                                            type, source.getLongValue(), "%s", e.getMessage()));
                        }
                    }
                });
    }
}
