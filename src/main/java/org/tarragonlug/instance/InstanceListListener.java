package org.tarragonlug.instance;

import java.util.List;
import java.util.Set;
import org.tarragonlug.id.InstanceId;
import org.tarragonlug.id.ServerId;
import org.tarragonlug.instancelist.ListedInstance;

/** Listener for changes of the instance list. */
interface InstanceListListener {
    /**
     * Called after each change of the list.
     *
     * @param instances all entries of the new list
     * @param removedInstances entry instances of the previous list that are not in the new list
     * @param removedServers backend servers of the previous list that are not in the new list
     */
    void onInstanceListChanged(
            List<ListedInstance> instances,
            Set<InstanceId> removedInstances,
            Set<ServerId> removedServers);
}
