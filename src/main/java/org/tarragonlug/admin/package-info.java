/** The edge to operators: metrics, health, status and the state dump over HTTP. */
package org.tarragonlug.admin;
