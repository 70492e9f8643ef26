import java.io.IOException;
import java.nio.file.Path;
import java.util.List;

/**
 * More adapters of a model are asked for than a server has places for, while requests still use the
 * adapters that it holds.
 */
final class AdapterInUseTrial extends Trial {
    private static final int OUTPUT_TOKENS = 70;
    private static final long EVENT_MILLIS = 300;
    private static final String MODEL = "m0";
    private static final int RARE_ADAPTERS = 4;

    private AdapterInUseTrial(Path folder) throws IOException {
        super(folder);
    }

    public static void main(String[] arguments) throws IOException {
        new AdapterInUseTrial(Path.of(arguments[0])).run();
    }

    @Override
    int play() throws IOException, InterruptedException {
        List<String> models = List.of(MODEL, "m1", "m2", "m3");
        store.put("config", "main", configuration(3, models, 20));
        startServer(List.of(MODEL), List.of(MODEL), EVENT_MILLIS);
        startServer(List.of("m1", "m2", "m3"), List.of("m1", "m2", "m3"), EVENT_MILLIS);
        startGateways(2);
        Thread.sleep(12_000);
        record.state("leases: " + leases(8));
        // Adapters a1 to a8 are in steady use: streams of 14 events, one after another.
        startCallers(ModelServer.ADAPTER_SLOTS, 20, (caller, round) -> send(caller + 1, round));
        Thread.sleep(12_000);
        if (trouble) {
            record.state("rare adapters are asked for at once");
            for (int number = 1; number <= RARE_ADAPTERS; number++) {
                int adapter = ModelServer.ADAPTER_SLOTS + number;
                LoopbackServer.startThread(() -> send(adapter, adapter));
            }
        }
        Thread.sleep(8000);
        stopCallers();
        Thread.sleep(6000);
        return judge();
    }

    private void send(int adapter, int round) {
        GatewayRun gateway = gateways.get((adapter + round) % gateways.size());
        ask(gateway, "/score/x", MODEL + "/a" + adapter, OUTPUT_TOKENS);
    }

    private int judge() {
        int breaches = 0;
        int orders = 0;
        for (ModelServer server : servers) {
            orders += server.orders().size();
            breaches += server.excesses().size();
            server.excesses().forEach(text -> record.state(server.id() + " ordered to hold " + text));
            record.state(server.id() + " lost " + server.lostRuns() + " runs by crashes");
        }
        record.state("orders: " + orders + ", breaches of LIMIT: " + breaches);
        if (orders < ModelServer.ADAPTER_SLOTS) {
            return NOT_RUN;
        }
        return breaches == 0 ? HELD : BROKEN;
    }
}
