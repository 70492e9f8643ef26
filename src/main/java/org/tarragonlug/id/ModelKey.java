package org.tarragonlug.id;

/**
 * Names the model, or the adapter of a model, that a generation request needs on its backend
 * server.
 *
 * <p>The text form is {@code model} or {@code model/adapter}.
 *
 * @param model name of the model
 * @param adapter name of the adapter; empty if only the model is needed
 */
public record ModelKey(String model, String adapter) implements Comparable<ModelKey> {
    public ModelKey {
        Identifiers.requireNonEmpty(model, "ModelKey model");
    }

    /** Parses the text form; everything after the first slash is the name of the adapter. */
    public static ModelKey parse(String text) {
        int slash = text.indexOf('/');
        return slash < 0
                ? new ModelKey(text, "")
                : new ModelKey(text.substring(0, slash), text.substring(slash + 1));
    }

    /** Returns whether the key names an adapter of the model. */
    public boolean hasAdapter() {
        return !adapter.isEmpty();
    }

    @Override
    public int compareTo(ModelKey other) {
        return toString().compareTo(other.toString());
    }

    // Written out, because the generated methods are linked at run time, which lengthens each
    // start.
    @Override
    public boolean equals(Object other) {
        return other instanceof ModelKey that
                && model.equals(that.model)
                && adapter.equals(that.adapter);
    }

    @Override
    public int hashCode() {
        return 31 * model.hashCode() + adapter.hashCode();
    }

    @Override
    public String toString() {
        return adapter.isEmpty() ? model : model + "/" + adapter;
    }
}
