package org.tarragonlug.decision.capacity;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Random;
import org.tarragonlug.id.InstanceId;
import org.tarragonlug.id.ProcessId;

/**
 * A process with a planner. Commands are executed one after the other with small delays, so that a
 * pause or a crash can occur between any two of them. A paused process executes its remaining
 * commands when it resumes.
 */
final class FakeProcess {
    final ProcessId id;
    final InstanceId instance;
    final DefaultCapacityPlanner planner;
    boolean paused;
    boolean crashed;
    boolean cutOff;
    private final FakeWorld world;
    private final Deque<CapacityEvent> inbox = new ArrayDeque<>();
    private final Deque<CapacityCommand> outbox = new ArrayDeque<>();
    private boolean sending;

    FakeProcess(FakeWorld world, InstanceId instance, int run) {
        this.world = world;
        this.instance = instance;
        this.id = new ProcessId(instance + "-run" + run);
        CapacitySettings settings = new CapacitySettings(FakeWorld.GROUP, id, 30, 32);
        planner =
                new DefaultCapacityPlanner(
                        settings,
                        new LoadTimes(),
                        new SimplePolicies.MostFreeMemory(),
                        new SimplePolicies.KeepFor(world.keepFor),
                        new Random(world.random.nextLong()),
                        (invariant, detail) -> world.onViolation(invariant + " " + detail));
    }

    void deliver(CapacityEvent event) {
        if (crashed) {
            return;
        }
        if (paused) {
            inbox.add(event);
            return;
        }
        outbox.addAll(planner.handle(event, world.now));
        sendNext();
    }

    void resume() {
        paused = false;
        sendNext();
        while (!inbox.isEmpty() && !paused) {
            deliver(inbox.poll());
        }
    }

    private void sendNext() {
        if (!sending && !outbox.isEmpty()) {
            sending = true;
            world.after(Duration.ofMillis(world.random.nextInt(2)), this::sendOne);
        }
    }

    private void sendOne() {
        sending = false;
        if (crashed || paused || outbox.isEmpty()) {
            return;
        }
        world.execute(this, outbox.poll());
        sendNext();
    }
}
