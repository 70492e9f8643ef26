package org.tarragonlug.objectapi;

import com.fasterxml.jackson.databind.JsonNode;
import com.networknt.schema.JsonSchema;
import com.networknt.schema.JsonSchemaFactory;
import com.networknt.schema.PathType;
import com.networknt.schema.SchemaValidatorsConfig;
import com.networknt.schema.SpecVersion;
import com.networknt.schema.ValidationMessage;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import org.tarragonlug.decision.configuration.TableFault;

/** Validates a table with its JSON schema and reports violations as faults with path and remedy. */
final class TableSchema {
    private static final int MAXIMUM_VALUE_LENGTH = 60;

    private final JsonSchema schema;

    /** Loads a schema from the class path. */
    TableSchema(String resource) {
        SchemaValidatorsConfig config =
                SchemaValidatorsConfig.builder().pathType(PathType.JSON_PATH).build();
        JsonSchemaFactory factory = JsonSchemaFactory.getInstance(SpecVersion.VersionFlag.V202012);
        try (InputStream stream = TableSchema.class.getResourceAsStream(resource)) {
            schema = factory.getSchema(stream, config);
            schema.initializeValidators();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Returns all violations of the schema; empty if the table is valid. */
    List<TableFault> validate(JsonNode table, UnknownFields unknownFields) {
        List<TableFault> faults = new ArrayList<>();
        Collection<ValidationMessage> messages = schema.validate(table);
        for (ValidationMessage message : messages) {
            String path = message.getInstanceLocation().toString();
            boolean isUnknown = message.getType().equals("additionalProperties");
            if (isUnknown && unknownFields == UnknownFields.IGNORE) {
                continue;
            }
            if (isTargetFault(message)) {
                TableFault fault =
                        new TableFault(
                                path, "not exactly one of pool and service", "name exactly one");
                if (!faults.contains(fault)) {
                    faults.add(fault);
                }
                continue;
            }
            faults.add(new TableFault(path, found(message), remedy(message)));
        }
        return faults;
    }

    /**
     * Returns whether a route names both or neither of its two possible targets. Such a route
     * violates "oneOf" and also some of the branches of "oneOf".
     */
    private static boolean isTargetFault(ValidationMessage message) {
        return message.getEvaluationPath().toString().contains("oneOf");
    }

    private static String found(ValidationMessage message) {
        String type = message.getType();
        if (type.equals("additionalProperties")) {
            return "unknown field '" + message.getProperty() + "'";
        }
        if (type.equals("required")) {
            return "field '" + message.getProperty() + "' is missing";
        }
        String text = String.valueOf(message.getInstanceNode());
        if (text.length() > MAXIMUM_VALUE_LENGTH) {
            text = text.substring(0, MAXIMUM_VALUE_LENGTH) + "...";
        }
        return text;
    }

    private static String remedy(ValidationMessage message) {
        return switch (message.getType()) {
            case "additionalProperties" -> "remove the field or correct its name";
            case "required" -> "add the field";
            case "pattern" ->
                    isDuration(message)
                            ? "write a whole number and ms, s, m or h, such as 500ms"
                            : "use text of the form " + schemaValue(message);
            case "type" -> "use a value of type " + schemaValue(message);
            case "enum" -> "use one of " + schemaValue(message);
            case "minimum", "exclusiveMinimum" ->
                    "use a greater value; the schema states the minimum";
            case "maximum" -> "use a value of at most " + schemaValue(message);
            case "minLength" -> "use a non-empty text";
            default -> "correct the value: " + message.getMessage();
        };
    }

    private static boolean isDuration(ValidationMessage message) {
        return schemaValue(message).contains("ms|s|m|h");
    }

    private static String schemaValue(ValidationMessage message) {
        return message.getSchemaNode() == null ? "" : message.getSchemaNode().toString();
    }
}
