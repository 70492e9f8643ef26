package org.tarragonlug.gateway;

import org.tarragonlug.http.AnswerName;
import org.tarragonlug.http.ModelConnection;

/** Which connection may carry a request that is sent again. */
enum ConnectionRule {
    /** Any connection. */
    NONE,
    /**
     * A new one if the server of this id has refused this request before, which is forgotten when
     * the request ends. This was the rule before connections remembered what they have carried.
     */
    REFUSED_BY_SERVER_ID {
        @Override
        boolean needsNewConnection(boolean refusedByServerId) {
            return refusedByServerId;
        }
    },
    /** One that has not carried the request; the present rule. */
    CARRIED_CALLS {
        @Override
        boolean mayCarry(ModelConnection connection, AnswerName name) {
            return connection.mayCarry(name);
        }
    };

    boolean needsNewConnection(boolean refusedByServerId) {
        return false;
    }

    boolean mayCarry(ModelConnection connection, AnswerName name) {
        return true;
    }
}
