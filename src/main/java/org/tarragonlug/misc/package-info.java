/** Utilities without dependencies on other packages. */
package org.tarragonlug.misc;
