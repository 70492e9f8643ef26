/** Client of the platform's object API, and codecs of the objects stored there. */
package org.tarragonlug.objectapi;
