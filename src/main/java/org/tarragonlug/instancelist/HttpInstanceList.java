package org.tarragonlug.instancelist;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletionStage;
import org.tarragonlug.error.ErrorCode;
import org.tarragonlug.error.TarragonlugException;
import org.tarragonlug.http.Answers;
import org.tarragonlug.http.ConnectionUse;
import org.tarragonlug.http.HttpAnswer;
import org.tarragonlug.http.HttpCall;
import org.tarragonlug.http.HttpConnections;
import org.tarragonlug.http.JsonFields;
import org.tarragonlug.id.FailureDomain;
import org.tarragonlug.id.ServerGroup;

/** An HTTP client of the instance list, which is read with {@code GET /instances}. */
public final class HttpInstanceList implements InstanceList {
    private final HttpConnections connections;
    private final InetSocketAddress address;

    /**
     * Creates a client.
     *
     * @param connections HTTP connections of the process
     * @param address address of the instance list
     */
    public HttpInstanceList(HttpConnections connections, InetSocketAddress address) {
        this.connections = connections;
        this.address = address;
    }

    @Override
    public CompletionStage<List<ListedInstance>> list() {
        HttpCall call =
                HttpCall.get(
                        "/instances", connections.limits().responseTimeout(), ConnectionUse.POOLED);
        return Answers.read(
                connections.exchange(address, call),
                HttpInstanceList::readAll,
                failure -> unavailable(failure.getMessage(), failure));
    }

    private static List<ListedInstance> readAll(HttpAnswer answer) throws TarragonlugException {
        if (answer.status() != 200) {
            throw unavailable("status " + answer.status(), null);
        }
        List<ListedInstance> instances = new ArrayList<>();
        for (JsonNode node : JsonFields.array(JsonFields.parse(answer.body()), "instances")) {
            instances.add(readOne(node));
        }
        return List.copyOf(instances);
    }

    private static ListedInstance readOne(JsonNode node) {
        return new ListedInstance(
                JsonFields.text(node, "id"),
                InstanceKind.valueOf(JsonFields.text(node, "kind")),
                new ServerGroup(JsonFields.text(node, "group")),
                new InetSocketAddress(
                        JsonFields.text(node, "host"), JsonFields.smallCount(node, "port")),
                new FailureDomain(JsonFields.text(node, "failureDomain")),
                JsonFields.flag(node, "leaving"));
    }

    private static TarragonlugException unavailable(String detail, Throwable cause) {
        return new TarragonlugException(ErrorCode.INSTANCE_LIST_UNAVAILABLE, detail, cause);
    }
}
