/**
 * The client accounts of a configuration: the keys by which requests belong to an account, and what
 * the account may use. The package holds no state that changes and does no I/O.
 */
package org.tarragonlug.decision.account;
