package org.tarragonlug.decision.quarantine;

import java.time.Duration;
import org.tarragonlug.id.RequestTrait;

/**
 * A trait and the time since something happened to requests with it.
 *
 * @param trait the trait
 * @param age time since the event
 */
public record TraitAge(RequestTrait trait, Duration age) {}
