package org.tarragonlug.objectapi;

import org.tarragonlug.error.ErrorCode;
import org.tarragonlug.error.TarragonlugException;
import org.tarragonlug.id.StoreEra;

/** A failure that the store has answered a call with, as opposed to one without an answer. */
public final class StoreRefusal extends TarragonlugException {
    private static final long serialVersionUID = 1L;

    private final long era;

    /**
     * Creates the failure.
     *
     * @param code the error code
     * @param detail description of the specific fault, in one line
     * @param era era that the answer states
     */
    public StoreRefusal(ErrorCode code, String detail, StoreEra era) {
        super(code, detail);
        this.era = era.value();
    }

    /** Returns the era that the answer states; {@link StoreEra#NONE} if it states none. */
    public StoreEra era() {
        return new StoreEra(era);
    }
}
