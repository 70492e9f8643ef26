/** The tables of routes and pools, their validation and acceptance. Pure. */
package org.tarragonlug.decision.configuration;
