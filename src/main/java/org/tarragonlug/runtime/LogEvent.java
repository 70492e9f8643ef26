package org.tarragonlug.runtime;

import java.util.Locale;
import org.jboss.logging.Logger.Level;

/** All log events with their levels; docs/operations.md explains each. */
public enum LogEvent {
    /** The process listens. */
    INSTANCE_STARTED(Level.INFO),
    /** The process stops accepting and finishes what is in progress. */
    DRAIN_STARTED(Level.INFO),
    /** Nothing is in progress any more, or the drain time is over. */
    DRAIN_ENDED(Level.INFO),
    /** The process ends. */
    INSTANCE_STOPPED(Level.INFO),
    /** A part of the process threw. */
    PART_FAILED(Level.ERROR),
    /** A failed part runs again. */
    PART_RESTARTED(Level.WARN),
    /** An invariant does not hold; this is a defect. */
    INVARIANT_VIOLATED(Level.ERROR),
    /** A greater configuration version is in force here. */
    CONFIGURATION_INSTALLED(Level.INFO),
    /** Edited tables were refused; the accepted ones stay. */
    CONFIGURATION_REFUSED(Level.WARN),
    /** Calls of the object API fail. */
    OBJECT_API_DOWN(Level.WARN),
    /** Calls of the object API work again. */
    OBJECT_API_UP(Level.INFO),
    /** Calls of the instance list fail. */
    INSTANCE_LIST_DOWN(Level.WARN),
    /** Calls of the instance list work again. */
    INSTANCE_LIST_UP(Level.INFO),
    /** This instance decides for a server group now. */
    BECAME_DECIDER(Level.INFO),
    /** Another instance decides for a server group now. */
    STOPPED_BEING_DECIDER(Level.INFO),
    /** An order leaves for an engine. */
    ORDER_SENT(Level.INFO),
    /** An order ended. */
    ORDER_ENDED(Level.INFO),
    /** A peer is alive. */
    MEMBER_ALIVE(Level.INFO),
    /** A peer does not answer. */
    MEMBER_FAILED(Level.WARN),
    /** A frame of a peer was invalid and its connection closed. */
    PEER_FRAME_INVALID(Level.WARN),
    /** The process behind a backend server's address was lost. */
    SERVER_LOST(Level.WARN),
    /** A backend server takes no new work. */
    SERVER_LEAVING(Level.INFO),
    /** A request crashed backend servers and is refused from now on. */
    REQUEST_QUARANTINED(Level.WARN),
    /** A request was refused; at debug level, since overload makes many. */
    REQUEST_REFUSED(Level.DEBUG),
    /** The store does not answer this instance; its calls go through a peer. */
    STORE_UNREACHABLE(Level.WARN),
    /** The store answers this instance again. */
    STORE_REACHED(Level.INFO),
    /** The store's history is gone; a kind is listed anew. */
    STORE_HISTORY_GONE(Level.INFO),
    /** An entry of the store can not be read and is passed over. */
    STORE_ENTRY_UNREADABLE(Level.WARN),
    /** A server is listed, or its state or models changed. */
    SERVER_LISTED(Level.INFO),
    /** A server is no longer listed. */
    SERVER_UNLISTED(Level.INFO),
    /** This instance holds the lease for orders now. */
    LEASE_ACQUIRED(Level.INFO),
    /** This instance does not hold the lease any more. */
    LEASE_LOST(Level.WARN),
    /** This instance plans which servers hold which models. */
    PLANNING_BEGUN(Level.INFO),
    /** Another instance plans. */
    PLANNING_ENDED(Level.INFO),
    /** The process did not run for a while. */
    PROCESS_PAUSED(Level.WARN),
    /** The settings file has changed. */
    SETTINGS_CHANGED(Level.INFO),
    /** A forwarded request was sent to a server. */
    FORWARD_SENT(Level.INFO),
    /** A forwarded request waits for a model. */
    FORWARD_WAITING(Level.INFO),
    /** A server turned a forwarded request away. */
    FORWARD_REJECTED(Level.INFO),
    /** The connection to a server broke or was invalid while it had a forwarded request. */
    FORWARD_BROKEN(Level.INFO),
    /** The attempt at a server was cancelled. */
    FORWARD_CANCELLED(Level.INFO),
    /** A forwarded request ended. */
    FORWARD_ENDED(Level.INFO);

    private final Level level;

    LogEvent(Level level) {
        this.level = level;
    }

    /** Returns the level it is logged at. */
    public Level level() {
        return level;
    }

    /** Returns the name used in the log line, lower case with underscores. */
    public String eventName() {
        return name().toLowerCase(Locale.ROOT);
    }
}
