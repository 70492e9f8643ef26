/**
 * Gateway processes under signals and faulty servers, with checks of what servers and callers see.
 */
package org.tarragonlug.soak;
