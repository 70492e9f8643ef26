package review;

import java.nio.file.Path;

/**
 * One run of a case: its folders, its record and whether the disruption takes place. Exits with 1 if
 * the rule was broken, 0 if it held, 2 if the case could not run.
 */
final class Run {
    interface Case {
        /** Returns whether the rule was broken. */
        boolean breaks(Run run) throws Exception;
    }

    private static final long LONGEST_SECONDS = 115;

    final Path repository;
    final Path temporary;
    final Record record;
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));

    private Run(String[] arguments) throws Exception {
        repository = Path.of(arguments[0]);
        temporary = Path.of(arguments[1]);
        record = new Record(Path.of(arguments[2]).resolve("record.txt"));
    }

    /** Runs a case with the repository, a temporary folder and the case's folder as arguments. */
    static void main(String[] arguments, String rule, Case body) {
        Thread watchdog =
                new Thread(
                        () -> {
                            Server.sleep(LONGEST_SECONDS * 1000);
                            System.out.println("the case took too long");
                            System.exit(2);
                        });
        watchdog.setDaemon(true);
        watchdog.start();
        int status = 2;
        try {
            Run run = new Run(arguments);
            run.record.line(run.trouble ? "with the disruption" : "without the disruption");
            boolean broken = body.breaks(run);
            run.say(rule + (broken ? " is broken" : " holds"));
            status = broken ? 1 : 0;
        } catch (Exception failure) {
            failure.printStackTrace();
        }
        System.exit(status);
    }

    void say(String text) {
        record.line(text);
        System.out.println(text);
    }

    /** Starts a gateway and waits until it is ready. */
    Gateway gateway(String name, String zone, String storeAddress) throws Exception {
        Gateway gateway = new Gateway(repository, temporary, name, zone, storeAddress);
        gateway.start();
        if (!gateway.awaitReady(40)) {
            throw new IllegalStateException("the gateway " + name + " did not become ready");
        }
        record.line("the gateway " + name + " is ready");
        return gateway;
    }
}
