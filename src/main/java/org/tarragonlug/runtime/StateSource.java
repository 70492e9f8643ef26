package org.tarragonlug.runtime;

import com.fasterxml.jackson.databind.JsonNode;

/** A part of the process that contributes a section to the state dump. */
public interface StateSource {
    /** Returns the name of this part's section. */
    String stateName();

    /** Returns the present state of this part. Called on the event loop. */
    JsonNode state();
}
