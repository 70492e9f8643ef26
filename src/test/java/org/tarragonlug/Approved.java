package org.tarragonlug;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.TreeSet;
import org.approvaltests.Approvals;
import org.approvaltests.core.Options;
import org.approvaltests.reporters.QuietReporter;

/**
 * Compares the text of an interface with its approved file. A difference fails the test without
 * opening a comparison program.
 */
public final class Approved {
    private Approved() {}

    /** Compares a text with the approved file that is named after the calling test method. */
    public static void verify(String text) {
        Approvals.verify(text, new Options().withReporter(new QuietReporter()));
    }

    /**
     * Lists the paths of a document, one per line, each with the type of its value. Field names
     * that contain a digit, such as ids, are replaced by *.
     */
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
