package org.tarragonlug.decision.capacity;

import java.time.Duration;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * A simulated object API that stores the capacity record, with lost writes, delayed writes and
 * outages.
 */
final class FakeRecordStore {
    CapacityRecord record;
    long version;
    boolean down;
    int lossPercent;
    int attempts;
    int writes;
    private final FakeWorld world;

    FakeRecordStore(FakeWorld world) {
        this.world = world;
    }

    void read(FakeProcess reader, Consumer<CapacityEvent> answer) {
        world.after(
                world.latency(),
                () -> {
                    Optional<CapacityRecord> found = Optional.ofNullable(record);
                    long foundVersion = version;
                    CapacityEvent event =
                            down || reader.cutOff
                                    ? new CapacityEvent.RecordReadFailed()
                                    : new CapacityEvent.RecordRead(found, foundVersion);
                    world.after(world.latency(), () -> answer.accept(event));
                });
    }

    void write(
            FakeProcess writer, CapacityCommand.WriteRecord write, Consumer<CapacityEvent> answer) {
        attempts++;
        if (writer.cutOff) {
            CapacityEvent notDone = new CapacityEvent.WriteNotDone(write.operation());
            world.after(world.latency(), () -> answer.accept(notDone));
            return;
        }
        boolean lost = world.random.nextInt(100) < lossPercent;
        if (!lost) {
            world.after(world.latency(), () -> answer.accept(apply(write, true)));
            return;
        }
        // The write is lost, takes effect immediately, or takes effect some seconds later. In all
        // cases its answer is lost.
        switch (world.random.nextInt(3)) {
            case 0 -> {}
            case 1 -> world.after(world.latency(), () -> apply(write, false));
            default ->
                    world.after(
                            Duration.ofMillis(world.random.nextInt(8_000)),
                            () -> apply(write, false));
        }
        world.after(
                Duration.ofSeconds(1),
                () -> answer.accept(new CapacityEvent.WriteOutcomeUnknown(write.operation())));
    }

    private CapacityEvent apply(CapacityCommand.WriteRecord write, boolean answered) {
        if (down && answered) {
            return new CapacityEvent.WriteNotDone(write.operation());
        }
        if (down || version != write.expectedVersion()) {
            return new CapacityEvent.WriteConflict(write.operation());
        }
        world.changed = true;
        version++;
        writes++;
        record = write.record();
        return new CapacityEvent.WriteDone(write.operation(), version);
    }
}
