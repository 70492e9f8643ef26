/** HTTP client for the weight store, from which engines load models. */
package org.tarragonlug.weightstore;
