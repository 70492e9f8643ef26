package org.tarragonlug.measure;

import java.time.Duration;
import java.util.BitSet;
import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;

/** Disturbances of the members and the network during a measurement. */
enum MembershipScenario {
    /** Members crash one at a time. Each restarts as a new process after 12 s. */
    CRASHES("single crashes") {
        @Override
        void run(VirtualCluster cluster, DetectionRecord record, DetectorKind kind) {
            int rounds = kind == DetectorKind.HEARTBEAT_ALL && cluster.size() > 200 ? 3 : 30;
            for (int round = 0; round < rounds; round++) {
                int victim = cluster.random().nextInt(cluster.size());
                cluster.run(Duration.ofMillis(cluster.random().nextInt(1_000)));
                cluster.crash(victim);
                record.markDown(victim, cluster.micros(), cluster.size() - 1);
                cluster.run(Duration.ofSeconds(12));
                record.markUp(victim);
                record.clearRemovals(victim);
                cluster.restart(victim);
                cluster.run(Duration.ofSeconds(6));
            }
        }
    },
    /** One member does not run for 30 s and then resumes. */
    PAUSE("30 s pause") {
        @Override
        void run(VirtualCluster cluster, DetectionRecord record, DetectorKind kind) {
            int rounds = kind == DetectorKind.HEARTBEAT_ALL && cluster.size() > 200 ? 1 : 5;
            for (int round = 0; round < rounds; round++) {
                int victim = cluster.random().nextInt(cluster.size());
                record.markDown(victim, cluster.micros(), cluster.size() - 1);
                cluster.pause(victim, Duration.ofSeconds(30));
                cluster.run(Duration.ofSeconds(30));
                // From here on, removals by the resumed member count as false alarms. The other
                // members have already removed it.
                record.markUp(victim);
                cluster.run(Duration.ofSeconds(15));
            }
        }
    },
    /** A twentieth of all directed pairs of members loses all messages. */
    ONE_WAY_LOSS("one-way loss, 5% of pairs") {
        @Override
        void run(VirtualCluster cluster, DetectionRecord record, DetectorKind kind) {
            BitSet lossy = randomPairs(cluster, 0.05);
            int size = cluster.size();
            cluster.setLinkRule((from, to, micros) -> lossy.get(from * size + to));
            cluster.run(runTime(cluster, kind, 120));
            cluster.setLinkRule(LinkRule.NONE);
            cluster.run(Duration.ofSeconds(10));
        }
    },
    /** The connections of a tenth of all pairs are silent until the transport replaces them. */
    SILENT_CONNECTIONS("silent connections, 10% of pairs") {
        @Override
        void run(VirtualCluster cluster, DetectionRecord record, DetectorKind kind) {
            BitSet silent = randomPairs(cluster, 0.1);
            int size = cluster.size();
            Map<Integer, Long> firstUse = new HashMap<>();
            cluster.setLinkRule(
                    (from, to, micros) -> {
                        int pair = Math.min(from, to) * size + Math.max(from, to);
                        if (!silent.get(pair)) {
                            return false;
                        }
                        long since = firstUse.computeIfAbsent(pair, key -> micros);
                        return micros - since < CONNECTION_REPLACEMENT_MICROS;
                    });
            cluster.run(runTime(cluster, kind, 120));
            cluster.setLinkRule(LinkRule.NONE);
        }
    },
    /** All members of one failure domain crash at the same moment. */
    DOMAIN_LOSS("loss of a failure domain") {
        @Override
        void run(VirtualCluster cluster, DetectionRecord record, DetectorKind kind) {
            int lostDomain = cluster.random().nextInt(VirtualCluster.DOMAINS);
            int survivors = 0;
            for (int member = 0; member < cluster.size(); member++) {
                survivors += VirtualCluster.domain(member) == lostDomain ? 0 : 1;
            }
            for (int member = 0; member < cluster.size(); member++) {
                if (VirtualCluster.domain(member) == lostDomain) {
                    cluster.crash(member);
                    record.markDown(member, cluster.micros(), survivors);
                }
            }
            cluster.run(Duration.ofSeconds(30));
        }
    },
    /** Two regions cannot reach each other for an hour. */
    REGION_PARTITION("region cut for an hour") {
        @Override
        void run(VirtualCluster cluster, DetectionRecord record, DetectorKind kind) {
            DetectionRecord.Partition partition =
                    (one, other) ->
                            VirtualCluster.inFirstRegion(one)
                                    != VirtualCluster.inFirstRegion(other);
            record.setPartition(partition);
            cluster.setLinkRule((from, to, micros) -> partition.separates(from, to));
            cluster.run(runTime(cluster, kind, 3_600));
            cluster.setLinkRule(LinkRule.NONE);
            cluster.run(Duration.ofSeconds(60));
        }
    };

    /**
     * Time until a silent connection is replaced: the transport's silent limit and check period.
     */
    private static final long CONNECTION_REPLACEMENT_MICROS = 1_750_000;

    private final String text;

    MembershipScenario(String text) {
        this.text = text;
    }

    String text() {
        return text;
    }

    abstract void run(VirtualCluster cluster, DetectionRecord record, DetectorKind kind);

    /**
     * Returns how long a scenario runs. Larger clusters run for a shorter time with heartbeats from
     * all to all, which are 168,000 messages a second at 410 members.
     */
    static Duration runTime(VirtualCluster cluster, DetectorKind kind, int seconds) {
        boolean isHuge = kind == DetectorKind.HEARTBEAT_ALL && cluster.size() > 200;
        boolean isLarge = kind == DetectorKind.HEARTBEAT_ALL && cluster.size() > 50;
        return Duration.ofSeconds(Math.min(seconds, isHuge ? 20 : isLarge ? 120 : seconds));
    }

    private static BitSet randomPairs(VirtualCluster cluster, double share) {
        SplittableRandom random = cluster.random();
        BitSet chosen = new BitSet();
        for (int pair = 0; pair < cluster.size() * cluster.size(); pair++) {
            if (random.nextDouble() < share) {
                chosen.set(pair);
            }
        }
        return chosen;
    }
}
