/** The commands of the program. */
package org.tarragonlug.tool;
