package org.tarragonlug.soak;

/** How the work of a server on a request has ended. */
enum RunEnd {
    /** The server has written its whole answer. */
    WHOLE(RequestHistory.Step.RUN_ENDED),
    /** The server has answered with a failure of its own, of which nothing can be resumed. */
    FAILED(RequestHistory.Step.RUN_FAILED),
    /** The server has ended its connection before the gateway can have read the whole answer. */
    BROKEN_OFF(RequestHistory.Step.RUN_BROKEN_OFF),
    /** The gateway has closed the connection meanwhile. */
    WITHDRAWN(RequestHistory.Step.RUN_WITHDRAWN);

    private final RequestHistory.Step step;

    RunEnd(RequestHistory.Step step) {
        this.step = step;
    }

    /** Returns how the history of a request tells it. */
    RequestHistory.Step step() {
        return step;
    }
}
