package org.tarragonlug.decision.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.tarragonlug.decision.configuration.ConfigurationSamples;
import org.tarragonlug.id.FailureDomain;
import org.tarragonlug.id.InstanceId;
import org.tarragonlug.id.ProcessId;

class OwnershipTest {
    private static final int MEMBERS = 10;
    private static final int KEYS = 10_000;

    private static Ownership ownership(List<Integer> members) {
        List<Member> list = new ArrayList<>();
        for (int number : members) {
            list.add(
                    new Member(
                            new InstanceId("i-" + number),
                            new ProcessId("p"),
                            "10.0.0.1:7000",
                            new FailureDomain("d" + number % 2),
                            1,
                            MemberState.ALIVE));
        }
        return new Ownership(
                ConfigurationSamples.HASHER, new MemberView(new InstanceId("i-0"), list));
    }

    private static List<Integer> membersWithout(int excluded) {
        List<Integer> members = new ArrayList<>();
        for (int number = 0; number < MEMBERS; number++) {
            if (number != excluded) {
                members.add(number);
            }
        }
        return members;
    }

    /**
     * Guards against needless changes of ownership: the loss of one member also changes the owner
     * of keys that other members own.
     */
    @Test
    void lossOfMemberMovesOnlyItsKeys() {
        Ownership before = ownership(membersWithout(-1));
        Ownership after = ownership(membersWithout(3));
        InstanceId lost = new InstanceId("i-3");
        for (int key = 0; key < KEYS; key++) {
            InstanceId owner = before.owner("k" + key).orElseThrow();
            InstanceId newOwner = after.owner("k" + key).orElseThrow();
            if (owner.equals(lost)) {
                assertNotEquals(lost, newOwner);
                assertEquals(before.ranked("k" + key, 2).get(1), newOwner);
            } else {
                assertEquals(owner, newOwner);
            }
        }
    }

    /**
     * Guards against members that own far more keys than others, because scores are badly mixed.
     */
    @Test
    void spreadsKeysEvenlyOverMembers() {
        Ownership ownership = ownership(membersWithout(-1));
        Map<InstanceId, Integer> counts = new HashMap<>();
        for (int key = 0; key < KEYS; key++) {
            counts.merge(ownership.owner("capacity/group-" + key).orElseThrow(), 1, Integer::sum);
        }
        int share = KEYS / MEMBERS;
        counts.values().forEach(count -> assertTrue(Math.abs(count - share) < share / 5));
    }

    /**
     * Guards against choosing watchers of the object API in another failure domain, and against a
     * failure when the view is empty.
     */
    @Test
    void ranksOnlyMembersOfFailureDomain() {
        Ownership ownership = ownership(membersWithout(-1));
        List<InstanceId> ranked = ownership.ranked("watch", 3, new FailureDomain("d1"));
        assertEquals(3, ranked.size());
        ranked.forEach(id -> assertEquals(1, Integer.parseInt(id.value().substring(2)) % 2));
        assertEquals(Optional.empty(), ownership(List.of()).owner("k"));
    }
}
