package org.tarragonlug.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.tarragonlug.decision.placement.ModelDemand;
import org.tarragonlug.id.InstanceId;
import org.tarragonlug.id.ModelKey;
import org.tarragonlug.id.ServerId;
import org.tarragonlug.id.ServiceName;
import org.tarragonlug.peer.PeerMessage;

class NoticeBoardTest {
    private static final ServiceName SERVICE = new ServiceName("engines");
    private static final ModelKey RARE = new ModelKey("rare", "");
    private static final ModelKey OTHER = new ModelKey("other", "");
    private static final Instant START = Instant.ofEpochSecond(100);

    private final NoticeBoard board = new NoticeBoard();

    private static ModelDemand waitingFor(ModelKey key) {
        Duration limit = Duration.ofSeconds(5);
        return new ModelDemand(SERVICE, key, 1, 1, 0, limit, limit);
    }

    private static InstanceId instance(int number) {
        return new InstanceId("instance-" + number);
    }

    private static PeerMessage.ReplicaChange replica(ModelKey key, boolean held) {
        return new PeerMessage.ReplicaChange(new ServerId("s-1"), key, held);
    }

    @Nested
    class Replicas {
        /** A message to each instance for each change grows with the square of the deployment. */
        @Test
        void areUrgentOnlyForInstancesThatWaitForThem() {
            for (int number = 0; number < 74; number++) {
                ModelKey key = number == 7 ? RARE : OTHER;
                board.reported(instance(number), List.of(waitingFor(key)), START);
            }
            board.add(replica(RARE, true));
            assertEquals(Set.of(instance(7)), board.urgent());
        }

        @Test
        void reachTheOthersWithTheAnswerToTheirNextReport() {
            board.reported(instance(1), List.of(), START);
            board.add(replica(RARE, true));
            board.add(replica(RARE, false));
            NoticeBoard.Notices notices = board.take(instance(1));
            assertEquals(List.of(replica(RARE, true), replica(RARE, false)), notices.replicas());
            assertEquals(List.of(), board.take(instance(1)).replicas());
        }

        /** A dropped model saves nobody's wait. */
        @Test
        void thatAreDroppedAreNotUrgent() {
            board.reported(instance(1), List.of(waitingFor(RARE)), START);
            board.add(replica(RARE, false));
            assertEquals(Set.of(), board.urgent());
        }
    }

    @Nested
    class Reporters {
        @Test
        void thatFellSilentAreForgotten() {
            board.reported(instance(1), List.of(), START);
            board.reported(instance(2), List.of(), START.plusSeconds(3));
            assertEquals(1, board.size(START.plusSeconds(5)));
        }
    }
}
