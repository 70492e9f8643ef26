package org.tarragonlug.peer;

import org.tarragonlug.id.InstanceId;
import org.tarragonlug.id.ProcessId;

/**
 * Who is at the other end, as the first frame of its connection said.
 *
 * @param instance its instance
 * @param process its process
 * @param address its own listening address as {@code host:port}
 */
public record PeerIdentity(InstanceId instance, ProcessId process, String address) {}
