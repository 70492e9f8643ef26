package org.tarragonlug.gateway;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import org.tarragonlug.decision.watching.SharedView;
import org.tarragonlug.error.ErrorCode;
import org.tarragonlug.id.InstanceId;
import org.tarragonlug.id.StoreEra;
import org.tarragonlug.id.StorePosition;
import org.tarragonlug.objectapi.StoredObject;
import org.tarragonlug.objectapi.WatchResult;
import org.tarragonlug.peer.GatewayMessage;
import org.tarragonlug.runtime.TimerService;

/**
 * Answers the watches of other instances from what this instance has read from the store. A watch
 * without news waits until there are some, or until the wait that it states is over.
 *
 * <p>When the store has come back from another copy, watches that wait go on doing so until this
 * instance has listed the objects of the new era. They then have a gap.
 */
final class SharedWatches {
    /** Sends the outcomes of calls to peers. */
    interface Replies {
        /**
         * Sends the answer to a call.
         *
         * @param objects the objects in the answer
         * @param position era of the answer, and the revision from which a next watch continues
         * @param gap whether changes may be missing
         */
        void reply(
                InstanceId to,
                GatewayMessage.ObjectCall call,
                List<GatewayMessage.RelayedObject> objects,
                StorePosition position,
                boolean gap);

        /** Sends that a call has failed. */
        void replyFailure(InstanceId to, GatewayMessage.ObjectCall call, ErrorCode code);
    }

    private record Waiter(InstanceId from, GatewayMessage.ObjectCall call) {}

    private final TimerService timers;
    private final Supplier<StoreEra> present;
    private final Replies replies;
    private final Map<String, SharedView<GatewayMessage.RelayedObject>> views = new HashMap<>();
    private final Map<String, List<Waiter>> waiters = new HashMap<>();

    /**
     * Creates the answers of an instance that has read nothing.
     *
     * @param present the era of the store that this instance knows
     */
    SharedWatches(TimerService timers, Supplier<StoreEra> present, Replies replies) {
        this.timers = timers;
        this.present = present;
        this.replies = replies;
    }

    private SharedView<GatewayMessage.RelayedObject> view(String kind) {
        return views.computeIfAbsent(kind, each -> new SharedView<>());
    }

    /** Returns whether a result is of the present era; others were answered before it began. */
    private boolean isPresent(WatchResult result) {
        return result.position().era().equals(present.get());
    }

    /** Forgets what was read in other eras of the store. */
    void onStoreEra(StoreEra era) {
        views.values().forEach(each -> each.onStoreEra(era));
    }

    /** Records a list that the store has answered. */
    void onListed(String kind, WatchResult result) {
        if (!isPresent(result)) {
            return;
        }
        view(kind).onListed(result.position(), timers.now());
        answerWaiters(kind);
    }

    /** Records a watch that the store has answered. */
    void onWatched(String kind, StorePosition after, WatchResult result) {
        if (result.gap() || !isPresent(result)) {
            return;
        }
        Map<String, GatewayMessage.RelayedObject> changed = new LinkedHashMap<>();
        for (StoredObject object : result.changed()) {
            changed.remove(object.name().name());
            changed.put(object.name().name(), RelayedObjects.toRelayed(object));
        }
        view(kind).onWatched(after, changed, result.position(), timers.now());
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
                view(call.objectKind())
                        .answer(PeerObjectCalls.start(call, present.get()), waitOver, now);
        switch (answer.kind()) {
            case WAIT -> {
                return false;
            }
            case STALE ->
                    replies.replyFailure(waiter.from(), call, ErrorCode.OBJECT_API_UNAVAILABLE);
            default ->
                    replies.reply(
                            waiter.from(),
                            call,
                            answer.changed(),
                            answer.position(),
                            answer.kind() == SharedView.Kind.GAP);
        }
        return true;
    }
}
