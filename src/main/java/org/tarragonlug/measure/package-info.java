/** Measurement programs; each prints seed, sizes, baseline and results. */
package org.tarragonlug.measure;
