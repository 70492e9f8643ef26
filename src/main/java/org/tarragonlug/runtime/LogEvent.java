package org.tarragonlug.runtime;

import java.util.Locale;
import org.jboss.logging.Logger.Level;

/** All log events with their levels. The file docs/operations.md explains each event. */
public enum LogEvent {
    /** The process has started and listens on its addresses. */
    INSTANCE_STARTED(Level.INFO),
    /** The process accepts no new requests and completes those in progress. */
    DRAIN_STARTED(Level.INFO),
    /** No request is in progress any more, or the drain time has elapsed. */
    DRAIN_ENDED(Level.INFO),
    /** The process has stopped its parts and exits. */
    INSTANCE_STOPPED(Level.INFO),
    /** Lines are missing before this one, because they could not be written fast enough. */
    LOG_LINES_DROPPED(Level.WARN),
    /** A part of the process threw an unexpected exception. */
    PART_FAILED(Level.ERROR),
    /** A failed part has been restarted. */
    PART_RESTARTED(Level.WARN),
    /** An invariant is violated, which is always a defect of this software. */
    INVARIANT_VIOLATED(Level.ERROR),
    /** This instance has put a newer configuration version into force. */
    CONFIGURATION_INSTALLED(Level.INFO),
    /** A configuration older than the one in force was read; the one in force stays. */
    CONFIGURATION_OLDER(Level.INFO),
    /** Tables or a stored configuration were invalid; the configuration in force stays. */
    CONFIGURATION_REFUSED(Level.WARN),
    /** The configuration was read in addition to its watch, since a caller's key is unknown. */
    CONFIGURATION_READ(Level.INFO),
    /** A request without a valid key was refused. Only some of many such requests are logged. */
    KEY_REFUSED(Level.INFO),
    /** Requests of an account are refused because its quota is used up. */
    QUOTA_EXCEEDED(Level.INFO),
    /** Requests of an account have not been refused for its quota for some seconds. */
    QUOTA_ROOM(Level.INFO),
    /** The instance that gives allowance has changed, has answered again or does not answer. */
    QUOTA_LENDER(Level.INFO),
    /** The number of instances among which quotas are divided has changed. */
    QUOTA_INSTANCES(Level.INFO),
    /** Calls to the object API fail. */
    OBJECT_API_DOWN(Level.WARN),
    /** Calls to the object API succeed again. */
    OBJECT_API_UP(Level.INFO),
    /** Calls to the instance list fail. */
    INSTANCE_LIST_DOWN(Level.WARN),
    /** Calls to the instance list succeed again. */
    INSTANCE_LIST_UP(Level.INFO),
    /** This instance has become the decider for a server group. */
    BECAME_DECIDER(Level.INFO),
    /** This instance is no longer the decider for a server group. */
    STOPPED_BEING_DECIDER(Level.INFO),
    /** An order is sent to an engine. */
    ORDER_SENT(Level.INFO),
    /** An order has ended; the line contains its outcome. */
    ORDER_ENDED(Level.INFO),
    /** Membership lists a peer as alive. */
    MEMBER_ALIVE(Level.INFO),
    /** Membership no longer lists a peer as alive. */
    MEMBER_FAILED(Level.WARN),
    /** A peer sent an invalid frame, and its connection was closed. */
    PEER_FRAME_INVALID(Level.WARN),
    /** The process of a backend server was lost. */
    SERVER_LOST(Level.WARN),
    /** A backend server says with an answer that it leaves, or that it wants a pause. */
    SERVER_NOTICE(Level.INFO),
    /** A backend server says something about itself that cannot be taken as it says it. */
    SERVER_NOTICE_ODD(Level.WARN),
    /** The requests at a backend server that has started or recovered are limited. */
    SERVER_LIMIT_BEGUN(Level.INFO),
    /** The requests at a backend server are no longer limited. */
    SERVER_LIMIT_ENDED(Level.INFO),
    /** What the planner has learnt of how long work takes on a backend server has changed. */
    SERVER_PACE_LEARNT(Level.INFO),
    /** A backend server reports that it is leaving and accepts no new work. */
    SERVER_LEAVING(Level.INFO),
    /** Requests crashed backend servers; those that are like them are refused from now on. */
    REQUEST_QUARANTINED(Level.WARN),
    /** Requests that were quarantined are served again. */
    REQUEST_RELEASED(Level.WARN),
    /** One quarantined request may pass, to find out whether it still crashes servers. */
    QUARANTINE_TRIAL(Level.INFO),
    /** The requests that this instance refuses because others like them crashed servers. */
    QUARANTINE_APPLIED(Level.INFO),
    /** A request was refused. Logged at debug level, because overload causes many refusals. */
    REQUEST_REFUSED(Level.DEBUG),
    /** The store does not answer this instance, so its calls are relayed through a peer. */
    STORE_UNREACHABLE(Level.WARN),
    /** The store answers this instance again. */
    STORE_REACHED(Level.INFO),
    /** The store no longer has the watched revisions of a kind, so its objects are listed again. */
    STORE_HISTORY_GONE(Level.INFO),
    /** The first answer of the store states the number of the copy from which it runs. */
    STORE_ERA_LEARNT(Level.INFO),
    /** The store has come back from an older copy: what was written since that copy is lost. */
    STORE_RESTORED(Level.WARN),
    /** An answer of an earlier era of the store arrived and is not used. */
    STORE_ANSWER_OUTDATED(Level.INFO),
    /** An answer of the store states an era that is no number; it counts as of the present one. */
    STORE_ERA_UNREADABLE(Level.WARN),
    /** An object of the store is not used, because a newer one is known. */
    STORE_OBJECT_IGNORED(Level.INFO),
    /** A watch of the store ended without an answer; the objects are listed at once. */
    STORE_WATCH_LOST(Level.INFO),
    /** A peer passed on changed objects, because this instance does not reach the store. */
    STORE_NEWS_RELAYED(Level.INFO),
    /** An object of the store cannot be decoded and is ignored. */
    STORE_ENTRY_UNREADABLE(Level.WARN),
    /** A server was added to the platform's list, or its listing has changed. */
    SERVER_LISTED(Level.INFO),
    /** A server was removed from the platform's list. */
    SERVER_UNLISTED(Level.INFO),
    /** This instance has acquired an order lease. */
    LEASE_ACQUIRED(Level.INFO),
    /** This instance no longer holds an order lease. */
    LEASE_LOST(Level.WARN),
    /** This instance has become the planner of model placement. */
    PLANNING_BEGUN(Level.INFO),
    /** This instance is no longer the planner of model placement. */
    PLANNING_ENDED(Level.INFO),
    /** The process was paused, as a gap between two timer ticks shows. */
    PROCESS_PAUSED(Level.WARN),
    /** The settings file was checked again after SIGHUP; the line contains the result. */
    SETTINGS_CHANGED(Level.INFO),
    /** A forwarded request was sent to a server. */
    FORWARD_SENT(Level.INFO),
    /** A forwarded request waits for a model to become ready. */
    FORWARD_WAITING(Level.INFO),
    /** A server rejected a forwarded request without running it. */
    FORWARD_REJECTED(Level.INFO),
    /** A late answer to another request was skipped before the answer to a forwarded request. */
    FORWARD_ANSWER_SKIPPED(Level.INFO),
    /** A server answered a forwarded request when none was in progress on the connection. */
    FORWARD_ANSWER_LATE(Level.INFO),
    /** An event of a send of a forwarded request came after the end of the send. */
    FORWARD_EVENT_DISCARDED(Level.WARN),
    /** The connection of a forwarded request to a server broke, or its answer was invalid. */
    FORWARD_BROKEN(Level.INFO),
    /** A server answered a forwarded request with a status that says "not run", unconfirmed. */
    FORWARD_AMBIGUOUS(Level.INFO),
    /** The attempt to run a forwarded request at a server was cancelled. */
    FORWARD_CANCELLED(Level.INFO),
    /** A forwarded request has ended; the line contains its outcome. */
    FORWARD_ENDED(Level.INFO);

    private final Level level;

    LogEvent(Level level) {
        this.level = level;
    }

    /** Returns the level at which the event is logged. */
    public Level level() {
        return level;
    }

    /** Returns the event's name in the log line, in lower case with underscores. */
    public String eventName() {
        return name().toLowerCase(Locale.ROOT);
    }
}
