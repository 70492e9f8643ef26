/**
 * Types shared by the state machines that make decisions. All code in this package and its
 * subpackages is pure: it reads no clock, starts no thread, does no I/O and depends only on the JDK
 * and the id types.
 */
package org.tarragonlug.decision;
