/**
 * The users' platform: names, formats and calls. Nothing here decides; nothing outside knows the
 * platform's names.
 */
package org.tarragonlug.platform;
