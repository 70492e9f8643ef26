package org.tarragonlug.instance;

import java.time.Duration;
import java.util.function.Consumer;
import org.tarragonlug.objectapi.ObjectApi;
import org.tarragonlug.objectapi.WatchResult;

/**
 * Watches a kind of objects while it is wanted.
 *
 * <p>It lists first, then watches from the revision of the list; after a gap or a failure it lists
 * again, so that no change is missed. A watch that stays silent is ended by the time limit of the
 * adapter and counts as a failure.
 */
final class KindWatch {
    private static final Duration RETRY_DELAY = Duration.ofSeconds(1);

    private final InstanceContext context;
    private final ObjectApi objectApi;
    private final String kind;
    private final Duration longestWait;
    private final Consumer<WatchResult> changed;
    private boolean wanted;
    private boolean active;

    KindWatch(
            InstanceContext context,
            ObjectApi objectApi,
            String kind,
            Duration longestWait,
            Consumer<WatchResult> changed) {
        this.context = context;
        this.objectApi = objectApi;
        this.kind = kind;
        this.longestWait = longestWait;
        this.changed = changed;
    }

    /** Starts or stops watching; a watch that is waiting ends by itself. */
    void run(boolean wants) {
        wanted = wants;
        if (wanted && !active) {
            active = true;
            list();
        }
    }

    private void list() {
        if (!wanted) {
            active = false;
            return;
        }
        context.onLoop(objectApi.list(kind), this::ended);
    }

    private void ended(WatchResult result, Throwable failure) {
        if (!wanted) {
            active = false;
        } else if (failure != null) {
            context.after(RETRY_DELAY, this::list);
        } else if (result.gap()) {
            list();
        } else {
            if (!result.changed().isEmpty()) {
                changed.accept(result);
            }
            context.onLoop(objectApi.watch(kind, result.revision(), longestWait), this::ended);
        }
    }
}
