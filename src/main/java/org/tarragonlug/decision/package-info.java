/**
 * Types shared by the state machines that decide. Everything below this package is pure: it reads
 * no clock, starts no thread, does no I/O and depends on the JDK and the id types alone.
 */
package org.tarragonlug.decision;
