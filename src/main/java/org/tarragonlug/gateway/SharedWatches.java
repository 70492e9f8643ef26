package org.tarragonlug.gateway;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.tarragonlug.decision.watching.SharedView;
import org.tarragonlug.error.ErrorCode;
import org.tarragonlug.id.InstanceId;
import org.tarragonlug.id.StorePosition;
import org.tarragonlug.objectapi.StoredObject;
import org.tarragonlug.objectapi.WatchResult;
import org.tarragonlug.peer.GatewayMessage;
import org.tarragonlug.runtime.TimerService;

/**
 * Answers the watches of other instances from what this instance has read from the store. A watch
 * without news waits until there are some, or until the wait that it states is over.
 */
final class SharedWatches {
    /** Sends the answer to a watch. */
    interface Replies {
        void send(
                InstanceId to,
                GatewayMessage.ObjectCall call,
                String error,
                List<GatewayMessage.RelayedObject> objects,
                long revision,
                boolean gap);
    }

    private record Waiter(InstanceId from, GatewayMessage.ObjectCall call) {}

    private final TimerService timers;
    private final Replies replies;
    private final Map<String, SharedView<GatewayMessage.RelayedObject>> views = new HashMap<>();
    private final Map<String, List<Waiter>> waiters = new HashMap<>();

    SharedWatches(TimerService timers, Replies replies) {
        this.timers = timers;
        this.replies = replies;
    }

    private SharedView<GatewayMessage.RelayedObject> view(String kind) {
        return views.computeIfAbsent(kind, each -> new SharedView<>());
    }

    /** Records a list that the store has answered. */
    void onListed(String kind, WatchResult result) {
        view(kind).onListed(result.revision(), timers.now());
        answerWaiters(kind);
    }

    /** Records a watch that the store has answered. */
    void onWatched(String kind, StorePosition after, WatchResult result) {
        if (result.gap()) {
            return;
        }
        Map<String, GatewayMessage.RelayedObject> changed = new LinkedHashMap<>();
        for (StoredObject object : result.changed()) {
            changed.remove(object.name().name());
            changed.put(object.name().name(), RelayedObjects.toRelayed(object));
        }
        view(kind).onWatched(after.revision(), changed, result.revision(), timers.now());
        answerWaiters(kind);
    }

    /** Answers a watch of another instance now, or when there is news. */
    void onWatch(InstanceId from, GatewayMessage.ObjectCall call) {
        Waiter waiter = new Waiter(from, call);
        if (!answer(waiter, false)) {
            waiters.computeIfAbsent(call.objectKind(), kind -> new ArrayList<>()).add(waiter);
            Duration wait = call.longestWait();
            timers.scheduleOnce(wait, now -> endWait(waiter));
        }
    }

    private void endWait(Waiter waiter) {
        if (waiters.get(waiter.call().objectKind()).remove(waiter)) {
            answer(waiter, true);
        }
    }

    private void answerWaiters(String kind) {
        Iterator<Waiter> each = waiters.getOrDefault(kind, List.of()).iterator();
        while (each.hasNext()) {
            if (answer(each.next(), false)) {
                each.remove();
            }
        }
    }

    private boolean answer(Waiter waiter, boolean waitOver) {
        Instant now = timers.now();
        GatewayMessage.ObjectCall call = waiter.call();
        SharedView.Answer<GatewayMessage.RelayedObject> answer =
                view(call.objectKind()).answer(call.version(), waitOver, now);
        switch (answer.kind()) {
            case WAIT -> {
                return false;
            }
            case STALE ->
                    replies.send(
                            waiter.from(),
                            call,
                            ErrorCode.OBJECT_API_UNAVAILABLE.name(),
                            List.of(),
                            0,
                            false);
            default ->
                    replies.send(
                            waiter.from(),
                            call,
                            "",
                            answer.changed(),
                            answer.revision(),
                            answer.kind() == SharedView.Kind.GAP);
        }
        return true;
    }
}
