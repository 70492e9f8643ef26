package org.tarragonlug.decision.forwarding;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.tarragonlug.decision.account.AccountDirectory;
import org.tarragonlug.decision.account.ClientAccount;
import org.tarragonlug.decision.account.Credential;
import org.tarragonlug.decision.account.KeyChecker;
import org.tarragonlug.decision.account.KeyDecision;

/**
 * Lets requests pass whose key is valid.
 *
 * <p>A request whose key is unknown is held until a read of the configuration that began after its
 * arrival shows whether the key is in the newest one. Only then is it refused as unknown, because a
 * caller does not repeat such a request, and its key may have been written a moment ago. Reads are
 * limited, so that unknown keys do not cause many calls: one read answers all requests that arrived
 * before it, and keys found absent are remembered.
 */
final class KeyGate {
    /** Shortest time between the beginnings of two reads of the configuration. */
    static final Duration READ_INTERVAL = Duration.ofSeconds(1);

    /** Longest time for which a request is held: the interval, a direct call and a relayed one. */
    static final Duration LONGEST_HOLD = Duration.ofMillis(2600);

    /** Number of requests that are held at once; each may keep a head of some KiB in memory. */
    static final int MAX_HELD = 64;

    /**
     * The answer to a request.
     *
     * @param account the account that it belongs to; empty if it needs none
     * @param refusal why it is refused; empty if it may pass or is held
     * @param held whether it must wait until its key is known
     */
    record Admission(
            Optional<ClientAccount> account, Optional<RefusalReason> refusal, boolean held) {
        private static final Admission HELD =
                new Admission(Optional.empty(), Optional.empty(), true);
        private static final Admission WITHOUT_ACCOUNT =
                new Admission(Optional.empty(), Optional.empty(), false);

        private static Admission refused(RefusalReason reason) {
            return new Admission(Optional.empty(), Optional.of(reason), false);
        }
    }

    private record HeldRequest(
            Credential credential, Instant arrivedAt, Consumer<Instant> decideAgain) {}

    private final KeyChecker checker;
    private final Consumer<ForwardingCommand> output;
    private final Map<Long, HeldRequest> held = new LinkedHashMap<>();
    private boolean reading;
    private Instant readStartedAt = Instant.EPOCH;

    /**
     * Creates a gate that lets all requests pass.
     *
     * @param removalDelay how long a key stays valid after the write of a configuration without it
     * @param output receives the commands to read the configuration and to refuse held requests
     */
    KeyGate(Duration removalDelay, Consumer<ForwardingCommand> output) {
        this.checker = new KeyChecker(removalDelay);
        this.output = output;
    }

    /** Returns whether requests need keys. */
    boolean isOn() {
        return checker.isOn();
    }

    /** Replaces the accounts, and decides again on the requests that are held. */
    void install(AccountDirectory accounts, Instant writtenAfter, Instant now) {
        checker.install(accounts, writtenAfter, now);
        List<Long> decided = new ArrayList<>();
        held.forEach(
                (key, request) -> {
                    if (!checker.isOn() || isDecided(request, now)) {
                        decided.add(key);
                    }
                });
        decided.forEach(key -> release(key, now));
    }

    private boolean isDecided(HeldRequest request, Instant now) {
        KeyDecision decision = checker.decide(request.credential().digest().orElseThrow(), now);
        return decision.kind() != KeyDecision.Kind.UNKNOWN;
    }

    /**
     * Decides on a request.
     *
     * @param key number of the request
     * @param credential what it states about its account
     * @param route the route that it takes
     * @param decideAgain called with the time when the decision on a held request can be made
     */
    Admission admit(
            long key,
            Credential credential,
            ForwardingRoute route,
            Consumer<Instant> decideAgain,
            Instant now) {
        if (!checker.isOn() || route.isPublic()) {
            return Admission.WITHOUT_ACCOUNT;
        }
        if (credential.digest().isEmpty()) {
            return Admission.refused(RefusalReason.KEY_UNKNOWN);
        }
        KeyDecision decision = checker.decide(credential.digest().get(), now);
        return switch (decision.kind()) {
            case ACCEPTED -> new Admission(decision.account(), Optional.empty(), false);
            case REFUSED -> Admission.refused(RefusalReason.KEY_UNKNOWN);
            case ENDING -> Admission.refused(RefusalReason.KEY_UNCONFIRMED);
            default -> hold(key, new HeldRequest(credential, now, decideAgain), now);
        };
    }

    private Admission hold(long key, HeldRequest request, Instant now) {
        if (held.size() >= MAX_HELD) {
            return Admission.refused(RefusalReason.KEY_UNCONFIRMED);
        }
        held.put(key, request);
        readIfDue(now);
        return Admission.HELD;
    }

    private void readIfDue(Instant now) {
        boolean due = !now.isBefore(readStartedAt.plus(READ_INTERVAL));
        if (!reading && due && !held.isEmpty()) {
            reading = true;
            readStartedAt = now;
            output.accept(new ForwardingCommand.ReadConfiguration());
        }
    }

    /** Forgets a request whose caller has left. */
    void forget(long key) {
        held.remove(key);
    }

    /**
     * Decides on the requests that arrived before a read of the configuration began. A newer
     * configuration has been installed before.
     *
     * @param succeeded whether the store has answered
     */
    void onConfigurationRead(boolean succeeded, Instant now) {
        reading = false;
        Map<Long, HeldRequest> concerned = new LinkedHashMap<>(held);
        concerned.values().removeIf(each -> each.arrivedAt().isAfter(readStartedAt));
        concerned.forEach(
                (key, request) -> {
                    if (succeeded) {
                        request.credential().digest().ifPresent(checker::recordAbsent);
                        release(key, now);
                    } else {
                        refuse(key);
                    }
                });
        readIfDue(now);
    }

    /** Ends waits that take too long, and reads the configuration again if it is time. */
    void tick(Instant now) {
        List<Long> late = new ArrayList<>();
        held.forEach(
                (key, request) -> {
                    if (!now.isBefore(request.arrivedAt().plus(LONGEST_HOLD))) {
                        late.add(key);
                    }
                });
        late.forEach(this::refuse);
        readIfDue(now);
    }

    private void release(long key, Instant now) {
        held.remove(key).decideAgain().accept(now);
    }

    private void refuse(long key) {
        held.remove(key);
        output.accept(
                new ForwardingCommand.Refuse(
                        key, RefusalReason.KEY_UNCONFIRMED, Optional.of(RetryDelay.KEY_NEWS)));
    }
}
