/**
 * Measurement programs, most of them simulations in virtual time. Each prints its seed, the sizes,
 * the results beside those of a baseline, and p50, p99 and maximum.
 */
package org.tarragonlug.measure;
