/** Measurement programs, which run the decisions in virtual time. */
package org.tarragonlug.measure;
