package org.tarragonlug.instance;

import java.time.Duration;
import java.util.function.Consumer;
import org.tarragonlug.objectapi.ObjectApi;
import org.tarragonlug.objectapi.WatchResult;

/**
 * Watches all objects of one kind in the object API while the watch is enabled.
 *
 * <p>The objects are listed first and then watched from the revision of the list. After a gap or a
 * failure they are listed again, so that no change is missed. A watch call that gets no answer ends
 * with the timeout of the object API client and counts as a failure.
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

    /**
     * Starts or stops watching. After a stop, a call in progress ends without reporting changes.
     */
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
            context.onLoop(objectApi.watch(kind, result.position(), longestWait), this::onResult);
        }
    }
}
