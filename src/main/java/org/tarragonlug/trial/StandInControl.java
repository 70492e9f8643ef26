package org.tarragonlug.trial;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Map;
import org.tarragonlug.objectapi.ObjectName;
import org.tarragonlug.objectapi.StoredObject;
import org.tarragonlug.runtime.Json;
import org.tarragonlug.standin.EngineRecorder;
import org.tarragonlug.standin.EngineStandIn;
import org.tarragonlug.standin.ObjectApiCounts;
import org.tarragonlug.standin.OutageKind;
import org.tarragonlug.standin.StandInPlatform;

/** Executes text commands that inject failures into the stand-ins or return recorded activity. */
public final class StandInControl {
    private final StandInPlatform platform;

    /** Creates a control for the stand-ins of a platform. */
    public StandInControl(StandInPlatform platform) {
        this.platform = platform;
    }

    /**
     * Executes a command.
     *
     * @param line the command with its arguments, separated by spaces
     * @return the answer; has a field {@code error} if the command or its argument is invalid
     */
    public ObjectNode execute(String line) {
        String[] words = line.trim().split(" +");
        String argument = words.length > 1 ? words[1] : "";
        try {
            return execute(words[0], argument);
        } catch (IllegalArgumentException malformed) {
            return Json.object().put("error", "unknown command or invalid argument: " + line);
        }
    }

    private ObjectNode execute(String command, String argument) {
        ObjectNode answer = Json.object().put("done", command);
        switch (command) {
            case "outage" ->
                    platform.objectApi()
                            .setOutage(
                                    argument.equals("on")
                                            ? OutageKind.DISCONNECTING
                                            : OutageKind.NONE);
            case "slow" ->
                    platform.objectApi().setDelay(Duration.ofMillis(Long.parseLong(argument)));
            case "lose" -> platform.objectApi().loseAnswersOfNextWrites(Integer.parseInt(argument));
            case "leave" -> engine(argument).leave();
            case "crash" -> engine(argument).crash();
            case "remove" -> platform.instanceList().remove(argument);
            case "rate" -> setRate(Integer.parseInt(argument));
            case "addresses" -> addAddresses(answer);
            case "truth" -> addRecordedActivity(answer);
            default -> throw new IllegalArgumentException(command);
        }
        return answer;
    }

    private EngineStandIn engine(String id) {
        return platform.engines().stream()
                .filter(engine -> engine.id().value().equals(id))
                .findFirst()
                .orElseThrow(() -> new IllegalArgumentException(id));
    }

    /** Changes the rate of all routes in the routes table, as an operator does. */
    private void setRate(int requestsPerSecond) {
        ObjectName name = new ObjectName("tables", "routes");
        ObjectNode table = platform.objectApi().peek(name).content().deepCopy();
        for (JsonNode route : table.path("routes")) {
            ((ObjectNode) route).put("requestsPerSecond", requestsPerSecond);
        }
        platform.objectApi().put(name, table);
    }

    private void addAddresses(ObjectNode answer) {
        ObjectNode engines = answer.putObject("engines");
        for (EngineStandIn engine : platform.engines()) {
            InetSocketAddress address = engine.address();
            engines.put(
                    engine.id().value(),
                    address.getAddress().getHostAddress() + ":" + address.getPort());
        }
    }

    private void addRecordedActivity(ObjectNode answer) {
        EngineRecorder recorder = platform.recorder();
        answer.put("overcommits", recorder.overcommits());
        answer.put("crashes", recorder.crashes());
        ObjectNode loaded = answer.putObject("loaded");
        recorder.loaded()
                .forEach(
                        (server, artifacts) -> {
                            var list = loaded.putArray(server.value());
                            artifacts.forEach(artifact -> list.add(artifact.toString()));
                        });
        ObjectNode highest = answer.putObject("highestReplicas");
        recorder.highestReplicas()
                .forEach((artifact, count) -> highest.put(artifact.toString(), count));
        ObjectNode runs = answer.putObject("serviceRuns");
        for (Map.Entry<String, Integer> run : platform.serviceRuns().entrySet()) {
            runs.put(run.getKey(), run.getValue());
        }
        ObjectApiCounts counts = platform.objectApi().counts();
        answer.putObject("objectApi")
                .put("reads", counts.reads())
                .put("writes", counts.writes())
                .put("watches", counts.watches());
        for (StoredObject record : platform.objectApi().peekAll("capacity")) {
            answer.withObject("/capacity").set(record.name().name(), record.content());
        }
    }
}
