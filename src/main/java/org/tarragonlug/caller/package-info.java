/** HTTP servers for callers: they receive requests, enforce limits and write answers. */
package org.tarragonlug.caller;
