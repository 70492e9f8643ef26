/** Error codes of the system and the exception that carries them. */
package org.tarragonlug.error;
