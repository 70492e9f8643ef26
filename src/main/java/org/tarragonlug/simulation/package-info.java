/**
 * A deployment in virtual time: many instances with their forwarding coordinators, one planner,
 * model servers that batch requests, a shared weight store and callers that retry. It drives the
 * decision classes only, without network or threads, and is used by measurements and tests.
 */
package org.tarragonlug.simulation;
