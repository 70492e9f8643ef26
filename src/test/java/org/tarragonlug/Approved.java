package org.tarragonlug;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.TreeSet;
import org.approvaltests.Approvals;
import org.approvaltests.core.Options;
import org.approvaltests.reporters.QuietReporter;

/** Compares an interface with its approved form; a difference fails the test and opens nothing. */
public final class Approved {
    private Approved() {}

    /** Compares text with the approved file of the calling test. */
    public static void verify(String text) {
        Approvals.verify(text, new Options().withReporter(new QuietReporter()));
    }

    /** Lists each path of a document with its kind of value; names that hold a digit become *. */
    public static String describeStructure(JsonNode document) {
        TreeSet<String> lines = new TreeSet<>();
        collect("$", document, lines);
        return String.join("\n", lines) + "\n";
    }

    private static void collect(String path, JsonNode node, TreeSet<String> lines) {
        if (node.isObject()) {
            lines.add(path + ": object");
            node.fields()
                    .forEachRemaining(
                            field -> {
                                String name =
                                        field.getKey().matches(".*\\d.*") ? "*" : field.getKey();
                                collect(path + "." + name, field.getValue(), lines);
                            });
        } else if (node.isArray()) {
            lines.add(path + ": array");
            node.forEach(element -> collect(path + "[]", element, lines));
        } else {
            lines.add(path + ": " + node.getNodeType().name().toLowerCase(java.util.Locale.ROOT));
        }
    }
}
