package org.tarragonlug.decision.placement;

import java.time.Duration;
import org.tarragonlug.decision.forwarding.ModelSpecification;

/** Where a server takes the weights of a model from. */
public enum CopyTier {
    /** Its own main memory. */
    MEMORY {
        @Override
        public Duration loadTime(ModelSpecification model) {
            return model.memoryLoadTime();
        }
    },
    /** Its own disk. */
    DISK {
        @Override
        public Duration loadTime(ModelSpecification model) {
            return model.diskLoadTime();
        }
    },
    /** The weight store, which all servers share. */
    REMOTE {
        @Override
        public Duration loadTime(ModelSpecification model) {
            return model.remoteLoadTime();
        }
    };

    /** Returns how long a load takes if nothing else is loaded. */
    public abstract Duration loadTime(ModelSpecification model);
}
