package org.tarragonlug.instancelist;

import java.util.List;
import java.util.concurrent.CompletionStage;

/** The instance list of the platform. It lags behind reality. */
public interface InstanceList {
    /** Lists live and leaving instances; fails with {@code INSTANCE_LIST_UNAVAILABLE}. */
    CompletionStage<List<ListedInstance>> list();
}
