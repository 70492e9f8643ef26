package org.tarragonlug.soak;

import java.util.ArrayList;
import java.util.List;

/** When gateways were paused by a signal. Times are milliseconds of one clock. */
final class GatewayPauses {
    private static final class Pause {
        final int gateway;
        final long beginMillis;
        long endMillis = Long.MAX_VALUE;

        Pause(int gateway, long beginMillis) {
            this.gateway = gateway;
            this.beginMillis = beginMillis;
        }
    }

    private final List<Pause> pauses = new ArrayList<>();

    void begin(int gateway, long millis) {
        pauses.add(new Pause(gateway, millis));
    }

    /** Ends all pauses of a gateway. */
    void end(int gateway, long millis) {
        pauses.stream()
                .filter(pause -> pause.gateway == gateway && pause.endMillis > millis)
                .forEach(pause -> pause.endMillis = millis);
    }

    /** Returns for how long of a time a gateway was paused; pauses of it must not overlap. */
    long overlap(int gateway, long beginMillis, long endMillis) {
        long sum = 0;
        for (Pause pause : pauses) {
            long begin = Math.max(beginMillis, pause.beginMillis);
            long end = Math.min(endMillis, pause.endMillis);
            if (pause.gateway == gateway && end > begin) {
                sum += end - begin;
            }
        }
        return sum;
    }
}
