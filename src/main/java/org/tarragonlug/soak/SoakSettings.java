package org.tarragonlug.soak;

import java.nio.file.Path;
import java.util.List;

/**
 * Settings of a soak.
 *
 * @param seed seed of all random choices
 * @param seconds length of the time with faults, in seconds
 * @param gateways number of gateway processes
 * @param directory directory in which they run
 * @param command program and arguments of a gateway process
 */
public record SoakSettings(
        long seed, int seconds, int gateways, Path directory, List<String> command) {}
