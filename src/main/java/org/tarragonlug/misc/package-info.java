/** Small helpers. */
package org.tarragonlug.misc;
