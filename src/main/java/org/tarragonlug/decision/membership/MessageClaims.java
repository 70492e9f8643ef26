package org.tarragonlug.decision.membership;

import java.util.ArrayList;
import java.util.List;
import org.tarragonlug.id.InstanceId;

/** Selects the claims about members that a message carries. */
final class MessageClaims {
    private final InstanceId self;
    private final OwnClaim ownClaim;
    private final MemberTable table;
    private final UpdateQueue updateQueue;
    private final int updateLimit;

    /**
     * Creates a selection.
     *
     * @param self the instance of this process
     * @param ownClaim what this process says about itself
     * @param table the known claims
     * @param updateQueue the updates that are being disseminated
     * @param updateLimit largest number of claims of a message
     */
    MessageClaims(
            InstanceId self,
            OwnClaim ownClaim,
            MemberTable table,
            UpdateQueue updateQueue,
            int updateLimit) {
        this.self = self;
        this.ownClaim = ownClaim;
        this.table = table;
        this.updateQueue = updateQueue;
        this.updateLimit = updateLimit;
    }

    /**
     * Returns the claims of a message in this order: the claim about this process, the claim about
     * the receiver if it is not alive, the given priority claims, and queued updates.
     *
     * @param members number of members, this process included
     */
    List<MemberUpdate> select(InstanceId receiver, List<MemberUpdate> priorityClaims, int members) {
        List<MemberUpdate> claims = new ArrayList<>();
        claims.add(ownClaim.current());
        table.claim(receiver)
                .filter(claim -> claim.state() != MemberState.ALIVE)
                .ifPresent(claims::add);
        priorityClaims.stream()
                .filter(claim -> !claim.instance().equals(receiver))
                .limit(updateLimit - claims.size())
                .forEach(claims::add);
        for (MemberUpdate update : updateQueue.take(updateLimit - claims.size(), members)) {
            if (!update.instance().equals(self) && !update.instance().equals(receiver)) {
                claims.add(update);
            }
        }
        return claims;
    }
}
