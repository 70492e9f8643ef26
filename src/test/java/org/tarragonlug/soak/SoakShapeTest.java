package org.tarragonlug.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class SoakShapeTest {
    @TempDir private Path directory;

    @Nested
    class Reading {
        private Path write(String from, String to) throws IOException {
            String resource = "/soak/small.json";
            String text = new String(SoakShape.class.getResourceAsStream(resource).readAllBytes());
            assertTrue(text.contains(from), text);
            return Files.writeString(directory.resolve("shape.json"), text.replace(from, to));
        }

        private String fault(String from, String to) throws IOException {
            String file = write(from, to).toString();
            return assertThrows(IllegalArgumentException.class, () -> SoakShapeReader.read(file))
                    .getMessage();
        }

        // Guards against a shape of the program that no run can read.
        @ParameterizedTest
        @ValueSource(
                strings = {
                    "three",
                    "few",
                    "silent",
                    "small",
                    "grown",
                    "wide",
                    "large",
                    "accounts",
                    "crowded",
                    "pressed",
                    "restored",
                    "restored-few",
                    "restored-grown",
                    "restored-large",
                    "restored-accounts"
                })
        void shapesOfTheProgramAreRead(String name) throws IOException {
            SoakShape shape = SoakShapeReader.read(name);
            assertEquals(1, shape.withGateways(1).gateways());
        }

        // Guards against a file that is read as another shape than the same one of the program.
        @Test
        void fileGivesTheSameShapeAsTheProgram() throws IOException {
            String file = write("\"gateways\": 8", "\"gateways\": 8").toString();
            assertEquals(SoakShapeReader.read("small"), SoakShapeReader.read(file));
        }

        // Guards against a fault in a file that goes on as a default or without its field's name.
        @Test
        void faultNamesItsField() throws IOException {
            assertTrue(fault("\"gateways\": 8", "\"gateways\": 0").contains("gateways"));
            assertTrue(fault("\"gateways\"", "\"gateway\"").contains("gateways"));
            assertTrue(fault("\"most\": 5", "\"most\": \"five\"").contains("most"));
            assertTrue(fault("\"records\"", "\"ledger\"").contains("records"));
            assertTrue(fault("\"ISSUE\"", "\"WRITE\"").contains("WRITE"));
            String pressed = "\"pressure\": {\"largeBodyPercent\": 101}, \"gateways\"";
            assertTrue(fault("\"gateways\"", pressed).contains("largestBodyBytes"));
        }
    }

    @Nested
    class Accounts {
        // Guards against callers with keys that no account has, whose requests are all refused.
        @Test
        void everyKeyBelongsToAnAccount() throws IOException {
            SoakShape shape = SoakShapeReader.read("accounts");
            String configuration = SoakConfiguration.of(shape).toString();
            for (int caller = 0; caller < 2 * SoakShape.MOST_ACCOUNTS; caller++) {
                String key = shape.key(caller).orElseThrow();
                assertTrue(configuration.contains("\"api_keys\":[\"" + key + "\"]"), key);
            }
        }

        // Guards against a check of the recovery that a quota fails, and against no quotas at all.
        @Test
        void onlyTheAccountOfTheRecoveryHasNoQuota() throws IOException {
            SoakShape shape = SoakShapeReader.read("accounts");
            String unlimited = shape.unlimitedKey().orElseThrow();
            for (JsonNode account : SoakConfiguration.of(shape).path("tenants")) {
                boolean limited = account.path("rate_per_s").asDouble() > 0;
                String key = account.path("api_keys").path(0).asText();
                assertEquals(!key.equals(unlimited), limited, key);
            }
        }

        // Guards against keys that are asked for where callers send none.
        @Test
        void shapeWithoutAccountsHasNone() throws IOException {
            SoakShape shape = SoakShapeReader.read("small");
            assertEquals(Optional.empty(), shape.key(0));
            assertFalse(SoakConfiguration.of(shape).has("tenants"));
        }
    }

    @Nested
    class Choices {
        // Guards against a model that no server holds, whose requests would all be refused.
        @ParameterizedTest
        @ValueSource(
                strings = {
                    "three",
                    "few",
                    "silent",
                    "small",
                    "grown",
                    "wide",
                    "large",
                    "accounts",
                    "crowded",
                    "restored",
                    "restored-few",
                    "restored-grown",
                    "restored-large",
                    "restored-accounts"
                })
        void everyModelIsHeldByThreeServers(String name) throws IOException {
            SoakShape shape = SoakShapeReader.read(name);
            Map<String, Integer> holders = new HashMap<>();
            for (int server = 0; server < shape.services().get("engines").servers(); server++) {
                shape.modelsOf(server).forEach(model -> holders.merge(model, 1, Integer::sum));
            }
            assertEquals(shape.models(), holders.size());
            holders.forEach((model, count) -> assertTrue(count >= 3, model + " " + count));
        }

        // Guards against a kind of request that is drawn more or less often than the shape says.
        @Test
        void kindsAreDrawnByTheirWeights() {
            Map<RequestKind, Integer> weights = Map.of(RequestKind.ASK, 3, RequestKind.PAY, 1);
            CallerShape callers = new CallerShape(1, 1, weights, new ReturnShape(0, 0, 0));
            Map<RequestKind, Integer> drawn = new EnumMap<>(RequestKind.class);
            Random random = new Random(1);
            for (int number = 0; number < 4000; number++) {
                drawn.merge(callers.draw(random), 1, Integer::sum);
            }
            assertEquals(List.of(RequestKind.ASK, RequestKind.PAY), List.copyOf(drawn.keySet()));
            assertEquals(3000, drawn.get(RequestKind.ASK), 150);
        }
    }
}
