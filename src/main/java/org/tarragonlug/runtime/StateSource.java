package org.tarragonlug.runtime;

import com.fasterxml.jackson.databind.JsonNode;

/** A part that contributes to the state dump of its process. */
public interface StateSource {
    /** Returns the name of its section. */
    String stateName();

    /** Returns its present state; called on the event loop. */
    JsonNode state();
}
