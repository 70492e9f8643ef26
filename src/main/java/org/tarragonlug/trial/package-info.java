/**
 * The embedded trial: entry instances and stand-ins in one process, a load, and a check of what was
 * promised.
 */
package org.tarragonlug.trial;
