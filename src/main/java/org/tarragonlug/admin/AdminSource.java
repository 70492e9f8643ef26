package org.tarragonlug.admin;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.concurrent.CompletionStage;

/** What the admin server shows of a process. */
public interface AdminSource {
    /** Returns all metrics in Prometheus' text format. */
    byte[] metrics();

    /** Tells whether the process works; a process that is not alive should be replaced. */
    boolean alive();

    /** Tells whether the balancer should send it requests. */
    boolean ready();

    /** Returns the state of every part. */
    CompletionStage<JsonNode> state();

    /** Returns the routes and pools with what the system reports on each. */
    CompletionStage<JsonNode> status();
}
