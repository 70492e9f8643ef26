/** HTTP client for model engines: streamed generation, orders and reports. */
package org.tarragonlug.engine;
