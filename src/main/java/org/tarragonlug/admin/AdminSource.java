package org.tarragonlug.admin;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.concurrent.CompletionStage;

/** Supplies the data about a process that the admin server returns. */
public interface AdminSource {
    /** Returns all metrics in the Prometheus text format. */
    byte[] metrics();

    /** Tells whether the process works. A process that is not alive should be replaced. */
    boolean alive();

    /** Tells whether the load balancer should send requests to this process. */
    boolean ready();

    /** Returns the state of every part of the process, for {@code /state}. */
    CompletionStage<JsonNode> state();

    /** Returns the status of each route and pool, for {@code /status}. */
    CompletionStage<JsonNode> status();
}
