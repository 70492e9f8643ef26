package org.tarragonlug.trial;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import org.tarragonlug.id.FailureDomain;
import org.tarragonlug.id.ServerGroup;
import org.tarragonlug.instancelist.InstanceKind;
import org.tarragonlug.instancelist.ListedInstance;
import org.tarragonlug.runtime.Json;
import org.tarragonlug.standin.Deployment;
import org.tarragonlug.standin.EngineFencing;
import org.tarragonlug.standin.FreePort;
import org.tarragonlug.standin.StandInPlatform;

/**
 * Creates the settings of entry instances that run in separate processes, and adds these instances
 * to the instance list.
 */
public final class SettingsWriter {
    private final StandInPlatform platform;
    private final List<String> peers = new ArrayList<>();

    /** Creates a writer for instances that use the stand-ins of a platform. */
    public SettingsWriter(StandInPlatform platform) {
        this.platform = platform;
    }

    /**
     * Returns the settings of one instance and adds the instance to the instance list. The peers in
     * the settings are the instances of earlier calls.
     *
     * @param number number of the instance, from 1
     */
    public ObjectNode write(int number) {
        Deployment deployment = platform.deployment();
        List<FailureDomain> domains = deployment.failureDomains();
        FailureDomain domain = domains.get(number % domains.size());
        InetSocketAddress peerAddress = FreePort.find();
        String instance = "entry-" + number;
        ObjectNode settings = Json.object();
        settings.put("deployment", deployment.name());
        settings.put("instance", instance);
        settings.put("failureDomain", domain.value());
        settings.put("callerAddress", addressText(FreePort.find()));
        settings.put("adminAddress", addressText(FreePort.find()));
        settings.put("peerAddress", addressText(peerAddress));
        settings.putObject("platform")
                .put("objectApi", addressText(platform.objectApi().address()))
                .put("instanceList", addressText(platform.instanceList().address()))
                .put("weightStore", addressText(platform.weightStore().address()));
        ArrayNode peerList = settings.putArray("peers");
        peers.forEach(peerList::add);
        peers.add(addressText(peerAddress));
        boolean checked = deployment.fencing() == EngineFencing.CHECKED;
        settings.putObject("fencing")
                .put(deployment.engineGroup().value(), checked ? "CHECKED" : "IGNORED");
        settings.putObject("limits").put("drainTime", "20s");
        platform.instanceList()
                .put(
                        new ListedInstance(
                                instance,
                                InstanceKind.ENTRY,
                                new ServerGroup("entry"),
                                peerAddress,
                                domain,
                                false));
        return settings;
    }

    private static String addressText(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }
}
