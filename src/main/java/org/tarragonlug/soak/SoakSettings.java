package org.tarragonlug.soak;

import java.nio.file.Path;
import java.util.List;

/**
 * Settings of a soak.
 *
 * @param seed seed of all random choices
 * @param seconds length of the time with faults, in seconds
 * @param shape what is played
 * @param directory directory in which the gateway processes run
 * @param command program and arguments of a gateway process
 */
public record SoakSettings(
        long seed, int seconds, SoakShape shape, Path directory, List<String> command) {}
