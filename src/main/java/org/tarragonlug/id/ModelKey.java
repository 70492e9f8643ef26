package org.tarragonlug.id;

/**
 * Names what a generation needs on its backend server: a model, or one adapter of a model.
 *
 * <p>The text form is {@code model} or {@code model/adapter}.
 *
 * @param model name of the model
 * @param adapter name of the adapter; empty for the model alone
 */
public record ModelKey(String model, String adapter) implements Comparable<ModelKey> {
    public ModelKey {
        Identifiers.requireNonEmpty(model, "ModelKey model");
    }

    /** Parses the text form. */
    public static ModelKey parse(String text) {
        int slash = text.indexOf('/');
        return slash < 0
                ? new ModelKey(text, "")
                : new ModelKey(text.substring(0, slash), text.substring(slash + 1));
    }

    /** Tells whether an adapter is needed beside the model. */
    public boolean hasAdapter() {
        return !adapter.isEmpty();
    }

    @Override
    public int compareTo(ModelKey other) {
        return toString().compareTo(other.toString());
    }

    @Override
    public String toString() {
        return adapter.isEmpty() ? model : model + "/" + adapter;
    }
}
