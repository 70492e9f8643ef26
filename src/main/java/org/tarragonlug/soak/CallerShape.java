package org.tarragonlug.soak;

import java.util.Map;
import java.util.Random;

/**
 * The callers of a soak.
 *
 * @param callers number of callers, each with one request at a time
 * @param longestPauseMillis longest pause of a caller between two requests
 * @param requests how many of the requests are of each kind, as weights
 * @param returns how callers come back after a refusal
 */
record CallerShape(
        int callers,
        int longestPauseMillis,
        Map<RequestKind, Integer> requests,
        ReturnShape returns) {
    CallerShape {
        ShapeBounds.check("callers", callers, 1, 2000);
        ShapeBounds.check("longestPauseMillis", longestPauseMillis, 1, 60_000);
        requests.forEach((kind, weight) -> ShapeBounds.check(kind.name(), weight, 1, 1000));
        if (requests.isEmpty()) {
            throw new IllegalArgumentException("field requests names no kind of request");
        }
        requests = Map.copyOf(requests);
    }

    /** Draws the kind of a request. */
    RequestKind draw(Random random) {
        int sum = requests.values().stream().mapToInt(Integer::intValue).sum();
        int number = random.nextInt(sum);
        for (RequestKind kind : RequestKind.values()) {
            number -= requests.getOrDefault(kind, 0);
            if (number < 0) {
                return kind;
            }
        }
        throw new IllegalStateException("the weights do not add up");
    }
}
