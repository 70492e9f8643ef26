/** The edge to the weight store. */
package org.tarragonlug.weightstore;
