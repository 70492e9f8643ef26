/**
 * Trials that run entry instances or a gateway with stand-ins in one process, send a load, and
 * check that the guarantees of the system hold. Also contains the load generator.
 */
package org.tarragonlug.trial;
