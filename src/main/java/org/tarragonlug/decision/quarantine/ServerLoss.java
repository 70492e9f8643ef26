package org.tarragonlug.decision.quarantine;

import java.time.Duration;
import java.util.List;
import org.tarragonlug.id.ServerIncarnation;

/**
 * What one instance knows of the loss of a server.
 *
 * @param server the lost server
 * @param age time since the instance noticed the loss
 * @param requests the instance's requests that the server had not begun to answer
 */
public record ServerLoss(ServerIncarnation server, Duration age, List<LostRequest> requests) {
    public ServerLoss {
        requests = List.copyOf(requests);
    }
}
