package org.tarragonlug.soak;

/**
 * How callers come back after an answer that promises that their request was not run.
 *
 * @param sameIdPercent share of the requests that come back with the id that was refused; the
 *     others come back with a new one
 * @param sameGatewayPercent share of the returns that go to the gateway that refused; the others go
 *     to any gateway
 * @param most how often a request comes back at most
 */
record ReturnShape(int sameIdPercent, int sameGatewayPercent, int most) {
    ReturnShape {
        ShapeBounds.checkPercent("sameIdPercent", sameIdPercent);
        ShapeBounds.checkPercent("sameGatewayPercent", sameGatewayPercent);
        ShapeBounds.check("most", most, 0, 20);
    }
}
