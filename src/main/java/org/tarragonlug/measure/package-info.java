/** Measurement programs. Each prints its seed, sizes, baselines and results. */
package org.tarragonlug.measure;
