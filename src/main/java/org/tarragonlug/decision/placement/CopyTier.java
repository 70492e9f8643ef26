package org.tarragonlug.decision.placement;

import java.time.Duration;
import org.tarragonlug.decision.forwarding.ModelSpecification;

/** The place from which a server loads the weights of a model. */
public enum CopyTier {
    /** A copy in the server's main memory. */
    MEMORY {
        @Override
        public Duration loadTime(ModelSpecification model) {
            return model.memoryLoadTime();
        }
    },
    /** A copy on the server's disk. */
    DISK {
        @Override
        public Duration loadTime(ModelSpecification model) {
            return model.diskLoadTime();
        }
    },
    /** The remote weight store, which all servers share. */
    REMOTE {
        @Override
        public Duration loadTime(ModelSpecification model) {
            return model.remoteLoadTime();
        }
    };

    /** Returns how long a load of the model takes if no other load is in progress. */
    public abstract Duration loadTime(ModelSpecification model);
}
