package org.tarragonlug.weightstore;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;
import org.tarragonlug.error.ErrorCode;
import org.tarragonlug.error.TarragonlugException;
import org.tarragonlug.http.AnswerReader;
import org.tarragonlug.http.Answers;
import org.tarragonlug.http.ConnectionUse;
import org.tarragonlug.http.HttpCall;
import org.tarragonlug.http.HttpConnections;
import org.tarragonlug.http.JsonFields;
import org.tarragonlug.id.ArtifactId;

/** Client for the weight store over HTTP: {@code GET /checkpoints} and {@code GET /load}. */
public final class HttpWeightStore implements WeightStore {
    private final HttpConnections connections;
    private final InetSocketAddress address;

    /**
     * Creates the client.
     *
     * @param connections HTTP connections of the process
     * @param address address of the weight store
     */
    public HttpWeightStore(HttpConnections connections, InetSocketAddress address) {
        this.connections = connections;
        this.address = address;
    }

    @Override
    public CompletionStage<List<Checkpoint>> checkpoints() {
        return get("/checkpoints", HttpWeightStore::readCheckpoints);
    }

    @Override
    public CompletionStage<WeightStoreLoad> load() {
        return get(
                "/load",
                body ->
                        new WeightStoreLoad(
                                JsonFields.smallCount(body, "activeLoads"),
                                JsonFields.number(body, "loadsPerSecond"),
                                JsonFields.flag(body, "slow")));
    }

    private <T> CompletionStage<T> get(String target, Function<JsonNode, T> parser) {
        HttpCall call =
                HttpCall.get(target, connections.limits().responseTimeout(), ConnectionUse.POOLED);
        AnswerReader<T> reader =
                answer -> {
                    if (answer.status() != 200) {
                        throw unavailable("status " + answer.status(), null);
                    }
                    return parser.apply(JsonFields.parse(answer.body()));
                };
        return Answers.read(
                connections.exchange(address, call),
                reader,
                failure -> unavailable(failure.getMessage(), failure));
    }

    private static List<Checkpoint> readCheckpoints(JsonNode body) {
        List<Checkpoint> checkpoints = new ArrayList<>();
        for (JsonNode node : JsonFields.array(body, "checkpoints")) {
            ArtifactId artifact = ArtifactId.parse(JsonFields.text(node, "artifact"));
            checkpoints.add(new Checkpoint(artifact, JsonFields.count(node, "bytes")));
        }
        return List.copyOf(checkpoints);
    }

    private static TarragonlugException unavailable(String detail, Throwable cause) {
        return new TarragonlugException(ErrorCode.WEIGHT_STORE_UNAVAILABLE, detail, cause);
    }
}
