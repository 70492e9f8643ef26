/**
 * One entry instance: connects the edges to the state machines and executes their commands. All
 * drivers run on the event loop of the instance.
 */
package org.tarragonlug.instance;
