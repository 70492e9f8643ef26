/**
 * The tables of routes and pools, with their validation, acceptance and distribution. The code is
 * pure: it does no I/O and reads no clock.
 */
package org.tarragonlug.decision.configuration;
