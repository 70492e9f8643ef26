package org.tarragonlug.instance;

import java.util.List;
import java.util.Set;
import org.tarragonlug.id.InstanceId;
import org.tarragonlug.id.ServerId;
import org.tarragonlug.instancelist.ListedInstance;

/** Observer of the instance list. */
interface InstanceListListener {
    /**
     * Called after each change of the list.
     *
     * @param instances all listed instances
     * @param removedInstances entry instances that left the list after having been in it
     * @param removedServers backend servers that left the list after having been in it
     */
    void onInstanceListChanged(
            List<ListedInstance> instances,
            Set<InstanceId> removedInstances,
            Set<ServerId> removedServers);
}
