/** Value types for ids and versions. */
package org.tarragonlug.id;
