package org.tarragonlug.gateway;

import static org.tarragonlug.gateway.ScriptedServer.answer;

/** A way on which one request reaches servers a second time. */
enum SendAgainWay {
    FULL(503, "tarragonlug-server-load: 8,0,8\r\n"),
    LIMITED(429, ""),
    MODEL_MISSING(421, "") {
        @Override
        String instance(String expectedServer) {
            return expectedServer;
        }
    },
    OTHER_SERVER(421, "") {
        @Override
        String instance(String expectedServer) {
            return "another";
        }
    },
    /** The refusal names no request. */
    REFUSED_WITHOUT_ID(400, "") {
        @Override
        String refusal(ScriptedServer.Request request) {
            return answer(400, "", "tarragonlug-not-executed: 1\r\nx-server: s\r\n", "");
        }
    },
    TIMED_OUT_IN_QUEUE(408, ""),
    /** The server wants a pause, so that requests whose connection opens are withdrawn. */
    PAUSED(503, "retry-after: 0.2\r\n"),
    /** The server that gets the request after its refusal breaks the connection. */
    BROKEN(503, "tarragonlug-server-load: 8,0,8\r\n") {
        @Override
        Step stepOfSend(int send) {
            return send == 2 ? Step.BREAK : super.stepOfSend(send);
        }
    },
    /** The server that gets the request after its refusal does not answer. */
    STALLED(503, "tarragonlug-server-load: 8,0,8\r\n") {
        @Override
        Step stepOfSend(int send) {
            return send == 2 ? Step.STALL : super.stepOfSend(send);
        }
    },
    /** The server refuses and starts again under its id. */
    RESTARTED_WITH_SAME_ID(503, "tarragonlug-server-load: 8,0,8\r\n"),
    /** The server has started again under another id, and the old one is not listed any more. */
    RESTARTED_WITH_NEW_ID(421, "") {
        @Override
        String instance(String expectedServer) {
            return "another";
        }
    },
    /** A server of another service has the address of the one that is meant. */
    ADDRESS_OF_OTHER_SERVICE(421, "") {
        @Override
        String instance(String expectedServer) {
            return "other-service";
        }
    },
    /** The only server holds the model some time after it has refused the request. */
    MODEL_LOADED_LATER(421, "") {
        @Override
        String instance(String expectedServer) {
            return expectedServer;
        }
    };

    /** What a server does with a request. */
    enum Step {
        REFUSE,
        /** Begins to run the request, and resets the connection. */
        BREAK,
        /** Begins to run the request, and does not answer until its connection is closed. */
        STALL,
        RUN
    }

    private final int status;
    private final String headers;

    SendAgainWay(int status, String headers) {
        this.status = status;
        this.headers = headers;
    }

    /** Returns what a server does with a request that is sent for the given time, from 1. */
    Step stepOfSend(int send) {
        return send == 1 ? Step.REFUSE : Step.RUN;
    }

    /** Returns the id with which the server names itself in a refusal; empty if it does not. */
    String instance(String expectedServer) {
        return "";
    }

    /** Returns the statement that a request was not run. */
    String refusal(ScriptedServer.Request request) {
        String instance = instance(request.expectedServer());
        String named = instance.isEmpty() ? "" : "tarragonlug-instance-id: " + instance + "\r\n";
        return answer(
                status, request.id(), "tarragonlug-not-executed: 1\r\n" + named + headers, "");
    }

    /** Returns whether the server is the only one, under one id. */
    boolean isAlone() {
        return this == MODEL_LOADED_LATER || this == RESTARTED_WITH_SAME_ID;
    }
}
