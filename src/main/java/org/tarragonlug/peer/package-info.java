/** Transport and messages between the processes of this system. */
package org.tarragonlug.peer;
