/** HTTP server for operators: metrics, health, status and the state dump. */
package org.tarragonlug.admin;
