package org.tarragonlug.plainservice;

import org.tarragonlug.id.ServerId;

/**
 * The report of a server of a plain service on its state.
 *
 * @param server the server
 * @param incarnation id that changes when the server restarts
 * @param leaving whether the server is about to stop
 * @param running number of requests that are running
 */
public record ServiceReport(ServerId server, String incarnation, boolean leaving, int running) {}
