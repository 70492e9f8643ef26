package org.tarragonlug.decision.request;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * Timers in a binary heap ordered by due time. Each timer stores its index, so that cancelling
 * takes O(log n) and cancelled timers use no memory. {@link java.util.PriorityQueue} would search
 * for the timer in linear time.
 */
final class TimerHeap {
    /** A timer, which belongs to one heap. */
    static final class Timer {
        private final Consumer<Instant> action;
        private Instant due;
        private int index = -1;

        Timer(Consumer<Instant> action) {
            this.action = action;
        }

        Instant due() {
            return due;
        }

        boolean isScheduled() {
            return index >= 0;
        }
    }

    private final List<Timer> heap = new ArrayList<>();

    /** Schedules the timer, or reschedules it if it is scheduled already. */
    void schedule(Timer timer, Instant due) {
        cancel(timer);
        timer.due = due;
        timer.index = heap.size();
        heap.add(timer);
        siftUp(timer.index);
    }

    void cancel(Timer timer) {
        int index = timer.index;
        if (index < 0) {
            return;
        }
        timer.index = -1;
        Timer last = heap.remove(heap.size() - 1);
        if (last != timer) {
            place(last, index);
            siftUp(index);
            siftDown(last.index);
        }
    }

    /** Runs the actions of all due timers. Actions may schedule and cancel timers. */
    void runDue(Instant now) {
        while (!heap.isEmpty() && !heap.get(0).due.isAfter(now)) {
            Timer timer = heap.get(0);
            cancel(timer);
            timer.action.accept(now);
        }
    }

    int size() {
        return heap.size();
    }

    private void siftUp(int start) {
        int index = start;
        Timer timer = heap.get(index);
        while (index > 0) {
            int parent = (index - 1) >>> 1;
            if (heap.get(parent).due.compareTo(timer.due) <= 0) {
                break;
            }
            place(heap.get(parent), index);
            index = parent;
        }
        place(timer, index);
    }

    private void siftDown(int start) {
        int index = start;
        Timer timer = heap.get(index);
        while (true) {
            int child = 2 * index + 1;
            if (child >= heap.size()) {
                break;
            }
            if (child + 1 < heap.size() && heap.get(child + 1).due.isBefore(heap.get(child).due)) {
                child++;
            }
            if (timer.due.compareTo(heap.get(child).due) <= 0) {
                break;
            }
            place(heap.get(child), index);
            index = child;
        }
        place(timer, index);
    }

    private void place(Timer timer, int index) {
        heap.set(index, timer);
        timer.index = index;
    }
}
