package org.tarragonlug.soak;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.File;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.tarragonlug.trial.GatewayChild;

class SoakTest {
    private static final long SEED = 20_240;
    private static final int SECONDS = 15;
    private static final int SILENT_SECONDS = 10;
    private static final long RESTORED_SEED = 2;
    private static final int RESTORED_SECONDS = 15;
    private static final int FEWEST_RESTORES = 2;
    private static final int FEWEST_ORDERS = 30;
    private static final int FEWEST_COPIES = 50;
    private static final int FEWEST_RETURNS = 50;
    private static final int FEWEST_SILENCES = 20;
    private static final int FEWEST_REFUSED_RESUMPTIONS = 5;
    private static final Pattern RESTORES = Pattern.compile(" store_restores=(\\d+)");
    private static final Pattern ORDERS = Pattern.compile(" orders=(\\d+)");
    private static final Pattern COPIES = Pattern.compile(" copies=(\\d+)");
    private static final Pattern RETURNS = Pattern.compile(" returns_with_same_id=(\\d+)");
    private static final Pattern SILENCES = Pattern.compile(" server_silences=(\\d+)");
    private static final Pattern REFUSED_RESUMPTIONS =
            Pattern.compile(" refused_resumptions=(\\d+)");

    /** Returns the command of the deploy file, with the classes under test. */
    private static List<String> command() throws Exception {
        List<String> command = new ArrayList<>(GatewayChild.command(Path.of("")));
        command.set(0, Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.removeIf(option -> option.startsWith("-XX:SharedArchiveFile"));
        String classPath =
                Arrays.stream(System.getProperty("java.class.path").split(File.pathSeparator))
                        .filter(entry -> !entry.endsWith("test-classes"))
                        .collect(Collectors.joining(File.pathSeparator));
        command.set(command.indexOf("-cp") + 1, classPath);
        return command;
    }

    /** Plays a shape, demands that all checks hold, and returns the summary. */
    private static String play(String shapeName, int seconds) throws Exception {
        return play(SEED, shapeName, seconds);
    }

    private static String play(long seed, String shapeName, int seconds) throws Exception {
        List<String> lines = new ArrayList<>();
        SoakShape shape = SoakShapeReader.read(shapeName);
        SoakSettings settings =
                new SoakSettings(seed, seconds, shape, Path.of("").toAbsolutePath(), command());
        boolean held = new Soak(settings, lines::add).run();
        assertTrue(held, () -> String.join("\n", lines));
        return lines.get(lines.size() - 1);
    }

    // Guards against failures that only several processes, signals, faulty servers and callers that
    // come back bring about: requests that run twice, refusals that are not true, answers that are
    // foreign or not whole.
    @Test
    @Timeout(120)
    void checksHoldUnderFaultsOfOneSeed() throws Exception {
        String summary = play("few", SECONDS);
        assertTrue(count(COPIES, summary) >= FEWEST_COPIES, summary);
        assertTrue(count(RETURNS, summary) >= FEWEST_RETURNS, summary);
    }

    // Guards against streams that are given up while their server is only silent, and lost if the
    // next one refuses them.
    @Test
    @Timeout(120)
    void silentStreamsAreNotLostWhenOthersRefuseThem() throws Exception {
        String summary = play("silent", SILENT_SECONDS);
        assertTrue(count(SILENCES, summary) >= FEWEST_SILENCES, summary);
        assertTrue(count(REFUSED_RESUMPTIONS, summary) >= FEWEST_REFUSED_RESUMPTIONS, summary);
    }

    // Guards against a configuration that is ignored, a server that is taken back and an order
    // lease with two holders, each since what a gateway remembers of the store is compared with an
    // older copy from which the store has returned.
    @Test
    @Timeout(120)
    void checksHoldWhenTheStoreReturnsFromOlderCopies() throws Exception {
        String summary = play(RESTORED_SEED, "restored-few", RESTORED_SECONDS);
        assertTrue(count(RESTORES, summary) >= FEWEST_RESTORES, summary);
        assertTrue(count(ORDERS, summary) >= FEWEST_ORDERS, summary);
    }

    private static int count(Pattern counter, String summary) {
        Matcher matcher = counter.matcher(summary);
        assertTrue(matcher.find(), summary);
        return Integer.parseInt(matcher.group(1));
    }
}
