/**
 * Measurement programs in virtual time. Each prints its seed, sizes, the baseline beside the
 * result, and p50, p99 and max.
 */
package org.tarragonlug.measure;
