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
    private final Consumer<WatchResult> onChange;
    private boolean enabled;
    private boolean running;

    KindWatch(
            InstanceContext context,
            ObjectApi objectApi,
            String kind,
            Duration longestWait,
            Consumer<WatchResult> onChange) {
        this.context = context;
        this.objectApi = objectApi;
        this.kind = kind;
        this.longestWait = longestWait;
        this.onChange = onChange;
    }

    /** Starts or stops watching; a watch that is waiting ends by itself. */
    void setEnabled(boolean enable) {
        enabled = enable;
        if (enabled && !running) {
            running = true;
            list();
        }
    }

    private void list() {
        if (!enabled) {
            running = false;
            return;
        }
        context.onLoop(objectApi.list(kind), this::onResult);
    }

    private void onResult(WatchResult result, Throwable failure) {
        if (!enabled) {
            running = false;
        } else if (failure != null) {
            context.after(RETRY_DELAY, this::list);
        } else if (result.gap()) {
            list();
        } else {
            if (!result.changed().isEmpty()) {
                onChange.accept(result);
            }
            context.onLoop(objectApi.watch(kind, result.revision(), longestWait), this::onResult);
        }
    }
}
