package review;

import java.util.List;

/** The store cuts the watches that wait, as it may; at that moment a server's entry is removed. */
final class CutWatch {
    /** From the cut to the removal of the entry. */
    private static final int REMOVED_AFTER_MILLIS = 30;

    /** From the removal to the end of the server: the drain time and a little longer. */
    private static final int SERVES_ON_MILLIS = 2400;

    private CutWatch() {}

    public static void main(String[] arguments) {
        Run.main(arguments, "DRAIN", CutWatch::breaks);
    }

    private static boolean breaks(Run run) throws Exception {
        Store store = new Store();
        store.put("config", "main", Site.desiredState(1, List.of(Site.model("m0", 0))));
        try (DrainTraffic traffic = new DrainTraffic(run, store, store.listener.address())) {
            Thread.sleep(3000);
            if (run.trouble) {
                store.cutWatches();
                run.record.line("the store cuts the watches that wait");
                Thread.sleep(REMOVED_AFTER_MILLIS);
            }
            traffic.leaving.gone = true;
            store.remove("servers", traffic.leaving.id);
            traffic.onAck();
            Thread.sleep(SERVES_ON_MILLIS);
            traffic.finish();
            return !traffic.late.isEmpty();
        }
    }
}
