package review;

import java.util.List;

/**
 * The open connections to the store go silent, while new ones work; then a server reports that it
 * is draining, and leaves.
 */
final class SilentWatch {
    /** The stable window of 3 s after which the machines are in touch again, and a margin. */
    private static final int IN_TOUCH_AFTER_MILLIS = 3100;

    /** From the silence to the report that the server is draining. */
    private static final int DRAINING_AFTER_MILLIS = 300;

    /** From the report to the end of the server: the drain time and a little longer. */
    private static final int SERVES_ON_MILLIS = 3500;

    private SilentWatch() {}

    public static void main(String[] arguments) {
        Run.main(arguments, "DRAIN", SilentWatch::breaks);
    }

    private static boolean breaks(Run run) throws Exception {
        Store store = new Store();
        store.put("config", "main", Site.desiredState(1, List.of(Site.model("m0", 0))));
        Proxy proxy = new Proxy(store.listener.port());
        EngineServer engine =
                new EngineServer(store, run.record, "lima-a", "i-engine1", 64, 14, 30);
        engine.hold("m0");
        engine.start();
        try (DrainTraffic traffic = new DrainTraffic(run, store, proxy.listener.address())) {
            Thread.sleep(2000);
            // As models do at any time, one changes the entry of its server; watches begin anew.
            engine.hold("m1");
            engine.register();
            run.record.line("the entry of i-engine1 changes");
            Thread.sleep(1300);
            if (run.trouble) {
                proxy.silenceOpenConnections();
                traffic.inTouchAfter(IN_TOUCH_AFTER_MILLIS);
                run.record.line("the open connections to the store are silent");
            }
            Thread.sleep(DRAINING_AFTER_MILLIS);
            traffic.leaving.state = "draining";
            traffic.leaving.register();
            traffic.onAck();
            Thread.sleep(SERVES_ON_MILLIS);
            traffic.leaving.gone = true;
            store.remove("servers", traffic.leaving.id);
            traffic.finish();
            return !traffic.late.isEmpty();
        }
    }
}
