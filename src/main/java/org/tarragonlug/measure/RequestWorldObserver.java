package org.tarragonlug.measure;

import java.time.Instant;
import org.tarragonlug.decision.request.RequestCommand;
import org.tarragonlug.id.AttemptId;
import org.tarragonlug.id.ServerId;

/** Observer of a simulated run. */
public interface RequestWorldObserver {
    /** Called when a request is handed to the coordinator. */
    default void arrived(SimulatedRequest request, Instant now) {}

    /** Called for each command, before it is executed. */
    default void commanded(RequestCommand command, Instant now) {}

    /** Called when a server starts to run an attempt. */
    default void ran(SimulatedRequest request, AttemptId attempt, ServerId server, Instant now) {}

    /** Called when a server's process is lost. */
    default void crashed(ServerId server, Instant now) {}
}
