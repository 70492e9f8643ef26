package review;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A small JSON reader and writer: objects are maps, arrays are lists. */
final class Json {
    private final String text;
    private int position;

    private Json(String text) {
        this.text = text;
    }

    static Object parse(String text) {
        Json json = new Json(text);
        return json.value();
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> object(Object value) {
        return (Map<String, Object>) value;
    }

    static Map<String, Object> of(Object... pairs) {
        Map<String, Object> map = new LinkedHashMap<>();
        for (int index = 0; index < pairs.length; index += 2) {
            map.put((String) pairs[index], pairs[index + 1]);
        }
        return map;
    }

    private char next() {
        while (Character.isWhitespace(text.charAt(position))) {
            position++;
        }
        return text.charAt(position);
    }

    private Object value() {
        char first = next();
        if (first == '{') {
            return readObject();
        }
        if (first == '[') {
            return readList();
        }
        if (first == '"') {
            return readString();
        }
        int start = position;
        while (position < text.length() && ",]} \n\r\t".indexOf(text.charAt(position)) < 0) {
            position++;
        }
        String word = text.substring(start, position);
        return switch (word) {
            case "true" -> true;
            case "false" -> false;
            case "null" -> null;
            default -> word.matches("-?\\d+") ? (Object) Long.parseLong(word) : Double.parseDouble(word);
        };
    }

    private Map<String, Object> readObject() {
        Map<String, Object> map = new LinkedHashMap<>();
        position++;
        while (next() != '}') {
            if (text.charAt(position) == ',') {
                position++;
                next();
            }
            String name = readString();
            next();
            position++;
            map.put(name, value());
        }
        position++;
        return map;
    }

    private List<Object> readList() {
        List<Object> list = new ArrayList<>();
        position++;
        while (next() != ']') {
            if (text.charAt(position) == ',') {
                position++;
            }
            list.add(value());
        }
        position++;
        return list;
    }

    private String readString() {
        StringBuilder result = new StringBuilder();
        position++;
        while (text.charAt(position) != '"') {
            char each = text.charAt(position++);
            if (each != '\\') {
                result.append(each);
                continue;
            }
            char escaped = text.charAt(position++);
            switch (escaped) {
                case 'n' -> result.append('\n');
                case 't' -> result.append('\t');
                case 'r' -> result.append('\r');
                case 'b' -> result.append('\b');
                case 'f' -> result.append('\f');
                case 'u' -> {
                    result.append((char) Integer.parseInt(text.substring(position, position + 4), 16));
                    position += 4;
                }
                default -> result.append(escaped);
            }
        }
        position++;
        return result.toString();
    }

    static String write(Object value) {
        StringBuilder result = new StringBuilder();
        write(value, result);
        return result.toString();
    }

    private static void write(Object value, StringBuilder result) {
        if (value instanceof Map<?, ?> map) {
            String separator = "{";
            for (Map.Entry<?, ?> each : map.entrySet()) {
                result.append(separator).append('"').append(each.getKey()).append("\":");
                write(each.getValue(), result);
                separator = ",";
            }
            result.append(map.isEmpty() ? "{}" : "}");
        } else if (value instanceof Iterable<?> list) {
            result.append('[');
            String separator = "";
            for (Object each : list) {
                result.append(separator);
                write(each, result);
                separator = ",";
            }
            result.append(']');
        } else if (value instanceof String text) {
            result.append('"');
            text.chars()
                    .forEach(
                            each -> {
                                if (each == '"' || each == '\\') {
                                    result.append('\\').append((char) each);
                                } else if (each < ' ') {
                                    result.append(String.format("\\u%04x", each));
                                } else {
                                    result.append((char) each);
                                }
                            });
            result.append('"');
        } else {
            result.append(value);
        }
    }
}
