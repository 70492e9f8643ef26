package org.tarragonlug.gateway;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.tarragonlug.decision.forwarding.ReportedLoad;
import org.tarragonlug.id.ServerId;
import org.tarragonlug.runtime.EventLog;
import org.tarragonlug.runtime.LogEvent;

/**
 * Logs the learnt paces of servers. A line is written when a pace differs by a quarter from the
 * logged one, so that the number of lines does not grow with the number of answers.
 */
final class LearntPaceLog {
    private static final double LOGGED_CHANGE = 1.25;

    private final EventLog log;
    private final Map<ServerId, Integer> logged = new HashMap<>();

    LearntPaceLog(EventLog log) {
        this.log = log;
    }

    /**
     * Logs what has changed.
     *
     * @param paces the learnt paces in percent; servers that are left out have the usual pace
     */
    void update(Map<ServerId, Integer> paces) {
        Set<ServerId> servers = new HashSet<>(logged.keySet());
        servers.addAll(paces.keySet());
        for (ServerId server : servers) {
            int pace = paces.getOrDefault(server, ReportedLoad.USUAL_PACE);
            int before = logged.getOrDefault(server, ReportedLoad.USUAL_PACE);
            if (pace >= before * LOGGED_CHANGE || pace <= before / LOGGED_CHANGE) {
                logChange(server, before, pace);
            }
        }
    }

    private void logChange(ServerId server, int before, int pace) {
        if (pace == ReportedLoad.USUAL_PACE) {
            logged.remove(server);
        } else {
            logged.put(server, pace);
        }
        log.event(LogEvent.SERVER_PACE_LEARNT)
                .with("server", server)
                .with("percent", pace)
                .with("before", before)
                .write();
    }
}
