package org.tarragonlug.instancelist;

import java.util.List;
import java.util.concurrent.CompletionStage;

/** The platform's list of instances. Its entries lag behind the actual state of the instances. */
public interface InstanceList {
    /**
     * Lists live and leaving instances. The stage fails with {@code INSTANCE_LIST_UNAVAILABLE} if
     * the list cannot be read.
     */
    CompletionStage<List<ListedInstance>> list();
}
