/** Timers, the event loop, supervision, event log, metrics, state dumps and settings. */
package org.tarragonlug.runtime;
