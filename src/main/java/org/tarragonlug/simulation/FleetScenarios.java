package org.tarragonlug.simulation;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/** Deployments whose load is hard to serve, each for one reason. */
public enum FleetScenarios {
    /**
     * Far more rare models than fit into memory, most of the value in requests for them, and a
     * weight store that serves one load at a time; beside it a few busy models on small batches.
     */
    RARE_MODELS {
        @Override
        FleetScenario scenario(int instances) {
            return new FleetScenario(
                    instances,
                    5,
                    40,
                    12,
                    36,
                    200_000,
                    690_000,
                    130_000,
                    8,
                    150_000,
                    Duration.ofSeconds(13),
                    1,
                    19,
                    7,
                    Duration.ofSeconds(9),
                    models(160, 60),
                    List.of(
                            new RequestProfile(
                                    "ask",
                                    170,
                                    false,
                                    millis(400),
                                    millis(300),
                                    millis(5000),
                                    0,
                                    true,
                                    2,
                                    2.8,
                                    0.83,
                                    490,
                                    155,
                                    50,
                                    17,
                                    0.1),
                            new RequestProfile(
                                    "score",
                                    16,
                                    true,
                                    millis(3000),
                                    millis(300),
                                    millis(17_000),
                                    0,
                                    false,
                                    1,
                                    82,
                                    12,
                                    490,
                                    155,
                                    1,
                                    17,
                                    0),
                            new RequestProfile(
                                    "review",
                                    8,
                                    false,
                                    millis(2000),
                                    millis(300),
                                    millis(5000),
                                    2,
                                    true,
                                    2,
                                    4,
                                    1.2,
                                    2900,
                                    6300,
                                    5,
                                    13,
                                    0.5)),
                    Duration.ofSeconds(9),
                    Duration.ofSeconds(6),
                    2.4,
                    List.of(),
                    Duration.ofSeconds(17),
                    Duration.ofSeconds(34));
        }
    },
    /**
     * Rare models that are each asked for every other second, together several times as many as fit
     * into memory: models change places all the time, and requests wait for them.
     */
    CROWDED_MODELS {
        @Override
        FleetScenario scenario(int instances) {
            return new FleetScenario(
                    instances,
                    4,
                    63,
                    12,
                    36,
                    200_000,
                    680_000,
                    130_000,
                    8,
                    173_000,
                    Duration.ofMillis(10_200),
                    2,
                    78,
                    18,
                    Duration.ofSeconds(9),
                    models(293, 140),
                    List.of(
                            new RequestProfile(
                                    "draft",
                                    196,
                                    false,
                                    millis(400),
                                    millis(500),
                                    millis(5000),
                                    0,
                                    true,
                                    2,
                                    3.7,
                                    0.45,
                                    490,
                                    155,
                                    50,
                                    17,
                                    0.1),
                            new RequestProfile(
                                    "batch",
                                    117,
                                    true,
                                    millis(2000),
                                    millis(500),
                                    millis(11_000),
                                    1,
                                    false,
                                    1,
                                    12.3,
                                    1.8,
                                    490,
                                    155,
                                    3,
                                    17,
                                    0),
                            new RequestProfile(
                                    "policy",
                                    9,
                                    false,
                                    millis(4000),
                                    millis(500),
                                    millis(5000),
                                    2,
                                    true,
                                    2,
                                    2.2,
                                    1,
                                    2900,
                                    6300,
                                    8,
                                    13,
                                    0.5)),
                    Duration.ofSeconds(9),
                    Duration.ofSeconds(5),
                    2.4,
                    List.of(),
                    Duration.ofSeconds(19),
                    Duration.ofSeconds(34));
        }
    },
    /** Long prompts with shared parts on large batches, so that reading prompts is the work. */
    LONG_PROMPTS {
        @Override
        FleetScenario scenario(int instances) {
            return new FleetScenario(
                    instances,
                    4,
                    60,
                    64,
                    192,
                    200_000,
                    400_000,
                    140_000,
                    8,
                    250_000,
                    Duration.ofSeconds(13),
                    1,
                    19,
                    7,
                    Duration.ofSeconds(9),
                    models(160, 60),
                    List.of(
                            new RequestProfile(
                                    "draft",
                                    60,
                                    false,
                                    millis(800),
                                    millis(400),
                                    millis(5000),
                                    2,
                                    false,
                                    1,
                                    1.7,
                                    0.5,
                                    2900,
                                    6300,
                                    15,
                                    13,
                                    0.1),
                            new RequestProfile(
                                    "major",
                                    26,
                                    true,
                                    millis(2500),
                                    millis(400),
                                    millis(11_000),
                                    1,
                                    true,
                                    2,
                                    21,
                                    3.2,
                                    2900,
                                    6300,
                                    1,
                                    13,
                                    0),
                            new RequestProfile(
                                    "query",
                                    78,
                                    false,
                                    millis(500),
                                    millis(400),
                                    millis(15_000),
                                    0,
                                    false,
                                    1,
                                    1.2,
                                    0.37,
                                    630,
                                    200,
                                    30,
                                    60,
                                    0.5)),
                    Duration.ofSeconds(9),
                    Duration.ofSeconds(6),
                    2.4,
                    List.of(),
                    Duration.ofSeconds(17),
                    Duration.ofSeconds(34));
        }
    },
    /** The rare models while servers crash, are replaced or turn slow, and planning stops. */
    FAILING_SERVERS {
        @Override
        FleetScenario scenario(int instances) {
            return RARE_MODELS
                    .scenario(instances)
                    .withFaults(
                            List.of(
                                    fault(SimulatedFault.Kind.SLOW, 1, 6, 6, 3),
                                    fault(SimulatedFault.Kind.REPLACE, 4, 5, 0, 1),
                                    fault(SimulatedFault.Kind.CRASH, 12, 6, 3, 1),
                                    fault(SimulatedFault.Kind.NO_PLANNING, 19, 0, 5, 1),
                                    fault(SimulatedFault.Kind.SLOW, 23, 8, 6, 5),
                                    fault(SimulatedFault.Kind.REPLACE, 26, 3, 0, 1)));
        }
    },
    /**
     * The rare models while crashed servers stay listed, some of them the only ones with a model.
     */
    LOST_SERVERS {
        @Override
        FleetScenario scenario(int instances) {
            return RARE_MODELS
                    .scenario(instances)
                    .withFaults(
                            List.of(
                                    fault(SimulatedFault.Kind.SILENT_CRASH, 3, 6, 3, 1),
                                    fault(SimulatedFault.Kind.SILENT_REPLACE, 8, 4, 0, 1),
                                    fault(SimulatedFault.Kind.SILENT_CRASH, 15, 6, 6, 1),
                                    fault(SimulatedFault.Kind.SILENT_REPLACE, 24, 4, 0, 1)));
        }
    },
    /** Long prompts while a tenth of the servers at a time restarts and is slow at first. */
    RESTARTING_SERVERS {
        @Override
        FleetScenario scenario(int instances) {
            return LONG_PROMPTS
                    .scenario(instances)
                    .withFaults(
                            List.of(
                                    fault(SimulatedFault.Kind.RESTART, 3, 6, 5, 5),
                                    fault(SimulatedFault.Kind.RESTART, 9, 6, 5, 5),
                                    fault(SimulatedFault.Kind.RESTART, 15, 6, 5, 5),
                                    fault(SimulatedFault.Kind.RESTART, 21, 6, 5, 5)));
        }
    },
    /** One prompt part, in requests at all instances, crashes each server that answers it. */
    CRASHING_PART {
        @Override
        FleetScenario scenario(int instances) {
            return RARE_MODELS
                    .scenario(instances)
                    .withFaults(List.of(fault(SimulatedFault.Kind.CRASHING_PART, 4, 0, 22, 0.05)));
        }
    },
    /** A crashing prompt part, while servers crash and are replaced for other reasons. */
    CRASHING_PART_AMONG_CRASHES {
        @Override
        FleetScenario scenario(int instances) {
            return RARE_MODELS
                    .scenario(instances)
                    .withFaults(
                            List.of(
                                    fault(SimulatedFault.Kind.SILENT_CRASH, 3, 6, 3, 1),
                                    fault(SimulatedFault.Kind.CRASHING_PART, 4, 0, 22, 0.02),
                                    fault(SimulatedFault.Kind.SILENT_CRASH, 5, 3, 3, 1),
                                    fault(SimulatedFault.Kind.SILENT_REPLACE, 8, 4, 0, 1),
                                    fault(SimulatedFault.Kind.SILENT_CRASH, 15, 6, 6, 1)));
        }
    };

    private static SimulatedFault fault(
            SimulatedFault.Kind kind, int at, int servers, int length, double factor) {
        return new SimulatedFault(
                kind, Duration.ofSeconds(at), servers, Duration.ofSeconds(length), factor);
    }

    abstract FleetScenario scenario(int instances);

    private static Duration millis(long millis) {
        return Duration.ofMillis(millis);
    }

    /** Returns models of four sizes, in turn; every second one has adapters. */
    private static List<SimulatedModel> models(int count, double diskMegabytesPerMilli) {
        double[] megabytes = {72_700, 65_500, 34_300, 65_100};
        double[] paces = {1.0, 0.93, 0.6, 0.34};
        List<SimulatedModel> models = new ArrayList<>();
        for (int number = 0; number < count; number++) {
            int type = number % megabytes.length;
            models.add(
                    new SimulatedModel(
                            "model-" + number,
                            megabytes[type],
                            paces[type],
                            number % 2 == 0 ? 30 : 0,
                            diskMegabytesPerMilli));
        }
        return models;
    }
}
