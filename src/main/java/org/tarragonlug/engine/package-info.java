/** The edge to model engines. */
package org.tarragonlug.engine;
