/** The edge to the object API of the platform. */
package org.tarragonlug.objectapi;
