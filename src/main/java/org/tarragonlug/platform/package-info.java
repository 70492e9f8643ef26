/**
 * Names, formats and calls of the users' platform. This package makes no decisions, and no other
 * package depends on the names that the platform uses.
 */
package org.tarragonlug.platform;
