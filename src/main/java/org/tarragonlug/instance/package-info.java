/**
 * An entry instance. Its drivers pass events from callers, peers, backend servers and the platform
 * to the state machines, and execute the commands that the state machines return. All drivers run
 * on the event loop of the instance.
 */
package org.tarragonlug.instance;
