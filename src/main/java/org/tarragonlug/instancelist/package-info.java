/** Client of the platform's instance list. */
package org.tarragonlug.instancelist;
