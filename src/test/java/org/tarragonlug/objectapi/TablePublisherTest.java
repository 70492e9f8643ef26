package org.tarragonlug.objectapi;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.tarragonlug.decision.configuration.Configuration;
import org.tarragonlug.decision.configuration.ConfigurationSamples;
import org.tarragonlug.error.ErrorCode;
import org.tarragonlug.error.TarragonlugException;
import org.tarragonlug.id.OperationId;
import org.tarragonlug.id.StorePosition;

class TablePublisherTest {
    @TempDir Path mariasFiles;
    @TempDir Path josesFiles;

    private final FakeObjectApi api = new FakeObjectApi();
    private final TableCodec codec = new TableCodec();
    private final TablePublisher maria = publisher("maria");
    private final TablePublisher jose = publisher("jose");
    private int operations;

    private TablePublisher publisher(String editor) {
        return new TablePublisher(
                api,
                codec,
                editor,
                () -> Instant.ofEpochSecond(1_800_000_000),
                () -> new OperationId(editor + "-" + operations++));
    }

    private void writeFiles(Path directory, int routes, String share) throws Exception {
        Configuration tables = ConfigurationSamples.configuration(1, routes);
        String text = codec.writeRoutes(tables.routes()).toString();
        Files.writeString(
                directory.resolve("routes.json"),
                text.replace("\"share\":1", "\"share\":" + share));
        Files.writeString(
                directory.resolve("pools.json"), codec.writePools(tables.pools()).toString());
    }

    @BeforeEach
    void publishFirstTables() throws Exception {
        writeFiles(mariasFiles, 2, "1");
        maria.apply(mariasFiles);
    }

    @Nested
    class Differences {
        /**
         * Guards against a diff that hides changes which an apply would make: changed fields,
         * removed rows, and removed artifacts of a pool.
         */
        @Test
        void diffShowsChangedRowsAndFields() throws Exception {
            writeFiles(josesFiles, 1, "4");
            String text =
                    String.join(
                            "", jose.diff(josesFiles).stream().map(RowDifference::text).toList());
            assertEquals(
                    "~ routes route-0\n    share: 1 -> 4\n- routes route-1\n"
                            + "~ pools pool-a\n    artifacts[model-1@1]: "
                            + "{\"artifact\":\"model-1@1\",\"memoryBytes\":1000,"
                            + "\"minimumReplicas\":0,\"maximumReplicas\":2} -> (none)\n",
                    text);
        }

        /** Guards against an apply that writes a new revision although no row has changed. */
        @Test
        void applyWritesNothingWhenTablesAreSame() throws Exception {
            Map<ObjectName, StoredObject> before = new HashMap<>(api.objects);
            assertEquals(List.of(), maria.apply(mariasFiles));
            assertEquals(before, api.objects);
        }
    }

    @Nested
    class Refusals {
        /**
         * Guards against invalid tables being written to the platform, and against an error that
         * names only some of the faults.
         */
        @Test
        void applyRefusesInvalidTablesWithAllFaults() throws Exception {
            writeFiles(josesFiles, 2, "0,\"shade\":1");
            TarragonlugException error =
                    assertThrows(TarragonlugException.class, () -> jose.apply(josesFiles));
            assertEquals(ErrorCode.TABLES_INVALID, error.code());
            assertTrue(error.getMessage().contains("$.routes[1].share"), error.getMessage());
            assertTrue(error.getMessage().contains("unknown field 'shade'"));
        }

        /**
         * Guards against an operator who undoes the edits of another. Jose's files were fetched
         * before Maria's edit, so applying them would restore the old rows. After a new fetch, or
         * after his own apply, Jose can apply again.
         */
        @Test
        void applyNamesEditsMadeSinceFetch() throws Exception {
            jose.fetch(josesFiles);
            writeFiles(mariasFiles, 2, "7");
            maria.apply(mariasFiles);
            writeFiles(josesFiles, 2, "8");
            assertConflictNamesMaria(() -> jose.apply(josesFiles));
            jose.fetch(josesFiles);
            writeFiles(josesFiles, 2, "8");
            assertEquals(2, jose.apply(josesFiles).size());
            writeFiles(josesFiles, 2, "9");
            assertEquals(2, jose.apply(josesFiles).size());
        }

        /**
         * Guards against a lost edit when both operators read a table before either writes it.
         * Maria's write comes between Jose's read and Jose's write.
         */
        @Test
        void applyFailsWhenOtherEditIsWrittenAfterRead() throws Exception {
            writeFiles(josesFiles, 2, "8");
            writeFiles(mariasFiles, 2, "7");
            api.beforeNextWrite = () -> maria.apply(mariasFiles);
            assertConflictNamesMaria(() -> jose.apply(josesFiles));
        }

        private void assertConflictNamesMaria(org.junit.jupiter.api.function.Executable apply) {
            TarragonlugException error = assertThrows(TarragonlugException.class, apply);
            assertEquals(ErrorCode.WRITE_CONFLICT, error.code());
            assertTrue(
                    error.getMessage().contains("row 'route-0' by maria at 2027-01-15"),
                    error.getMessage());
        }
    }

    @Nested
    class LostAnswers {
        /**
         * Guards against a conflict reported with the operator's own write. The write took effect
         * but its answer was lost, and the table read back has a new version.
         */
        @Test
        void applySucceedsWhenAnswerToEffectiveWriteIsLost() throws Exception {
            writeFiles(josesFiles, 2, "8");
            api.loseNextAnswer = true;
            assertEquals(2, jose.apply(josesFiles).size());
            assertEquals(List.of(), jose.diff(josesFiles));
        }

        /**
         * Guards against an edit that is abandoned after a write of unknown outcome that had no
         * effect. The table read back is unchanged, so the write must be repeated.
         */
        @Test
        void applyRepeatsLostWriteWithoutEffect() throws Exception {
            writeFiles(josesFiles, 2, "8");
            api.loseNextWrite = true;
            assertEquals(2, jose.apply(josesFiles).size());
            assertEquals(List.of(), jose.diff(josesFiles));
        }
    }

    /** An object API in memory with conditional writes, which can lose a write or its answer. */
    private static final class FakeObjectApi implements ObjectApi {
        interface Action {
            void run() throws TarragonlugException;
        }

        private final Map<ObjectName, StoredObject> objects = new HashMap<>();
        private boolean loseNextAnswer;
        private boolean loseNextWrite;
        private Action beforeNextWrite;

        @Override
        public CompletionStage<StoredObject> read(ObjectName name) {
            return CompletableFuture.completedFuture(
                    objects.getOrDefault(
                            name,
                            new StoredObject(
                                    name, StoredObject.ABSENT, MissingNode.getInstance())));
        }

        @Override
        public CompletionStage<StorePosition> write(
                ObjectName name, JsonNode content, long expectedVersion) {
            try {
                Action action = beforeNextWrite;
                beforeNextWrite = null;
                if (action != null) {
                    action.run();
                }
                long version = store(name, content, expectedVersion);
                return CompletableFuture.completedFuture(StorePosition.of(version));
            } catch (TarragonlugException e) {
                return CompletableFuture.failedFuture(e);
            }
        }

        private long store(ObjectName name, JsonNode content, long expectedVersion)
                throws TarragonlugException {
            StoredObject old = objects.get(name);
            long version = old == null ? StoredObject.ABSENT : old.version();
            if (version != expectedVersion) {
                throw new TarragonlugException(ErrorCode.WRITE_CONFLICT, "version=" + version);
            }
            if (!loseNextWrite) {
                objects.put(name, new StoredObject(name, version + 1, content.deepCopy()));
            }
            if (loseNextAnswer || loseNextWrite) {
                loseNextAnswer = false;
                loseNextWrite = false;
                throw new TarragonlugException(ErrorCode.OBJECT_API_OUTCOME_UNKNOWN, "lost");
            }
            return version + 1;
        }

        @Override
        public CompletionStage<Void> delete(ObjectName name, long expectedVersion) {
            throw new UnsupportedOperationException();
        }

        @Override
        public CompletionStage<WatchResult> list(String kind) {
            throw new UnsupportedOperationException();
        }

        @Override
        public CompletionStage<WatchResult> watch(
                String kind, StorePosition after, Duration longestWait) {
            throw new UnsupportedOperationException();
        }
    }
}
