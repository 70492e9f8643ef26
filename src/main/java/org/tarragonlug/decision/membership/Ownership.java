package org.tarragonlug.decision.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.tarragonlug.decision.Hasher;
import org.tarragonlug.id.FailureDomain;
import org.tarragonlug.id.InstanceId;

/**
 * Assigns keys to owners by rendezvous hashing over one live view.
 *
 * <p>Each member gets a score for a key, computed from the hash of the key and the hash of the
 * member. The member with the highest score owns the key. The score of a member does not depend on
 * other members, so the loss of a member moves only the keys that it owned, and these keys spread
 * evenly over the remaining members. Two processes with different views may compute different
 * owners; code that acts as an owner must be safe when two owners act at the same time.
 */
public final class Ownership {
    private static final long MULTIPLIER_1 = 0xff51afd7ed558ccdL;
    private static final long MULTIPLIER_2 = 0xc4ceb9fe1a85ec53L;
    private static final Comparator<Scored> HIGHEST_FIRST =
            Comparator.comparingLong(Scored::score)
                    .reversed()
                    .thenComparing(scored -> scored.member().instance());

    private final Hasher hasher;
    private final MemberView view;
    private final long[] memberHashes;

    /**
     * Creates the ownership over a view.
     *
     * @param hasher hash function that is the same in every process
     * @param view the live members
     */
    public Ownership(Hasher hasher, MemberView view) {
        this.hasher = hasher;
        this.view = view;
        this.memberHashes = new long[view.members().size()];
        for (int index = 0; index < memberHashes.length; index++) {
            memberHashes[index] = hasher.hash(view.members().get(index).instance().value());
        }
    }

    /** Returns the owner of a key; empty for an empty view. */
    public Optional<InstanceId> owner(String key) {
        long keyHash = hasher.hash(key);
        Scored best = null;
        for (int index = 0; index < memberHashes.length; index++) {
            Scored scored = scored(index, keyHash);
            if (best == null || HIGHEST_FIRST.compare(scored, best) < 0) {
                best = scored;
            }
        }
        return Optional.ofNullable(best).map(scored -> scored.member().instance());
    }

    /** Returns whether the instance of this process owns a key. */
    public boolean isOwner(String key) {
        return owner(key).filter(view.self()::equals).isPresent();
    }

    /**
     * Returns the members with the highest scores for a key, highest score first.
     *
     * @param key any text
     * @param count maximum number of members returned
     */
    public List<InstanceId> ranked(String key, int count) {
        return ranked(key, count, Optional.empty());
    }

    /**
     * Returns the members of one failure domain with the highest scores for a key, highest score
     * first. Such members, for example, watch the object API on behalf of their domain.
     *
     * @param key any text
     * @param count maximum number of members returned
     * @param domain the failure domain
     */
    public List<InstanceId> ranked(String key, int count, FailureDomain domain) {
        return ranked(key, count, Optional.of(domain));
    }

    private List<InstanceId> ranked(String key, int count, Optional<FailureDomain> domain) {
        long keyHash = hasher.hash(key);
        List<Scored> scores = new ArrayList<>();
        for (int index = 0; index < memberHashes.length; index++) {
            Scored scored = scored(index, keyHash);
            if (domain.isEmpty() || domain.get().equals(scored.member().failureDomain())) {
                scores.add(scored);
            }
        }
        scores.sort(HIGHEST_FIRST);
        return scores.stream().limit(count).map(scored -> scored.member().instance()).toList();
    }

    private Scored scored(int index, long keyHash) {
        return new Scored(view.members().get(index), mix(memberHashes[index] ^ mix(keyHash)));
    }

    /** The finalizer of MurmurHash3, which spreads each input bit over all output bits. */
    static long mix(long value) {
        long mixed = value;
        mixed = (mixed ^ (mixed >>> 33)) * MULTIPLIER_1;
        mixed = (mixed ^ (mixed >>> 33)) * MULTIPLIER_2;
        return mixed ^ (mixed >>> 33);
    }

    private record Scored(Member member, long score) {}
}
