/**
 * The gateway process on the users' platform. It connects the network and store adapters with the
 * state machines for request forwarding, model placement and lease ownership.
 */
package org.tarragonlug.gateway;
