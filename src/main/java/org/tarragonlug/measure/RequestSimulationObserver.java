package org.tarragonlug.measure;

import java.time.Instant;
import org.tarragonlug.decision.request.RequestCommand;
import org.tarragonlug.id.AttemptId;
import org.tarragonlug.id.ServerId;

/** Receives the events of a {@link RequestSimulation}. */
public interface RequestSimulationObserver {
    /** Called before a request is passed to the coordinator. */
    default void onRequestArrived(SimulatedRequest request, Instant now) {}

    /** Called for each command, before it is executed. */
    default void onCommand(RequestCommand command, Instant now) {}

    /** Called when a server starts to run an attempt. */
    default void onAttemptStarted(
            SimulatedRequest request, AttemptId attempt, ServerId server, Instant now) {}

    /** Called when a server's process crashes. */
    default void onServerCrashed(ServerId server, Instant now) {}
}
