package org.tarragonlug.plainservice;

import org.tarragonlug.id.ServerId;

/**
 * What a server of a plain service last said about itself.
 *
 * @param server the server
 * @param incarnation changes when the service restarts
 * @param leaving whether the server is about to stop
 * @param running requests running
 */
public record ServiceReport(ServerId server, String incarnation, boolean leaving, int running) {}
